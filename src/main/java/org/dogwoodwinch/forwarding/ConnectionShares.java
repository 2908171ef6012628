package org.dogwoodwinch.forwarding;

import java.util.OptionalInt;

/**
 * Computes the number of instances among which a target's connection limit is divided.
 *
 * <p>Failure: when the limit was divided by the maximum number of instances, each of nine instances had 13
 * connections to an engine that accepts 210. Calls whose answers were lost held these connections for two seconds
 * each, and other calls were refused for want of a target while the engine still had free connections. Dividing by
 * the number of instances seen plus a few more keeps the sum below the limit while spare instances join, because the
 * others see a spare before callers reach it.
 */
public final class ConnectionShares {

    /** Instances may join before they are seen: one for each this many instances seen, as there are few spares. */
    private static final int JOINING_DIVISOR = 4;

    private static final int MAX_JOINING_COUNT = 4;

    private ConnectionShares() {}

    /**
     * Returns the number of instances among which the connections are divided.
     *
     * @param maxSeenCount the largest number of instances in the membership at one time; empty before the first list
     *     was read, not null
     * @param defaultCount the number to return if {@code maxSeenCount} is empty
     * @return the number of instances, at least two once a list was read
     */
    public static int sharingInstancesCount(OptionalInt maxSeenCount, int defaultCount) {
        if (maxSeenCount.isEmpty()) {
            return defaultCount;
        }
        int seen = maxSeenCount.getAsInt();
        return seen + Math.max(1, Math.min(MAX_JOINING_COUNT, seen / JOINING_DIVISOR));
    }
}
