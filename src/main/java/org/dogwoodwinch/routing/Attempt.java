package org.dogwoodwinch.routing;

import org.dogwoodwinch.catalogue.WorkClass;

/** What the router remembers of one attempt until it ends. */
final class Attempt {

    private final TargetState state;
    private final RouteQuery query;
    private final long[] chain;
    private final double cachedPart;
    private final long prefillTokens;
    private final long decodeTokens;
    private final long expectedMillis;
    private boolean firstTokenSeen;

    Attempt(
            TargetState state,
            RouteQuery query,
            long[] chain,
            double cachedPart,
            long prefillTokens,
            long decodeTokens,
            long expectedMillis) {
        this.state = state;
        this.query = query;
        this.chain = chain;
        this.cachedPart = cachedPart;
        this.prefillTokens = prefillTokens;
        this.decodeTokens = decodeTokens;
        this.expectedMillis = expectedMillis;
    }

    TargetState state() {
        return state;
    }

    RouteQuery query() {
        return query;
    }

    long[] chain() {
        return chain;
    }

    double cachedPart() {
        return cachedPart;
    }

    long prefillTokens() {
        return prefillTokens;
    }

    long decodeTokens() {
        return decodeTokens;
    }

    long expectedMillis() {
        return expectedMillis;
    }

    boolean urgent() {
        return query.workClass() == WorkClass.URGENT;
    }

    boolean firstTokenSeen() {
        return firstTokenSeen;
    }

    void markFirstToken() {
        firstTokenSeen = true;
    }
}
