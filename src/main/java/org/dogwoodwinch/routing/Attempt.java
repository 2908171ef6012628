package org.dogwoodwinch.routing;

import org.dogwoodwinch.catalogue.WorkClass;

/** An attempt that was sent and has not ended, with what the router estimated when it was sent. */
final class Attempt {

    private final TargetState targetState;
    private final RouteQuery query;
    private final long[] blockHashes;
    private final double cachedFraction;
    private final long prefillTokens;
    private final long decodeTokens;
    private final long expectedFirstTokenMillis;
    private boolean firstTokenReceived;

    Attempt(
            TargetState targetState,
            RouteQuery query,
            long[] blockHashes,
            double cachedFraction,
            long prefillTokens,
            long decodeTokens,
            long expectedFirstTokenMillis) {
        this.targetState = targetState;
        this.query = query;
        this.blockHashes = blockHashes;
        this.cachedFraction = cachedFraction;
        this.prefillTokens = prefillTokens;
        this.decodeTokens = decodeTokens;
        this.expectedFirstTokenMillis = expectedFirstTokenMillis;
    }

    TargetState targetState() {
        return targetState;
    }

    RouteQuery query() {
        return query;
    }

    long[] blockHashes() {
        return blockHashes;
    }

    double cachedFraction() {
        return cachedFraction;
    }

    long prefillTokens() {
        return prefillTokens;
    }

    long decodeTokens() {
        return decodeTokens;
    }

    long expectedFirstTokenMillis() {
        return expectedFirstTokenMillis;
    }

    boolean isUrgent() {
        return query.workClass() == WorkClass.URGENT;
    }

    boolean firstTokenReceived() {
        return firstTokenReceived;
    }

    void markFirstTokenReceived() {
        firstTokenReceived = true;
    }
}
