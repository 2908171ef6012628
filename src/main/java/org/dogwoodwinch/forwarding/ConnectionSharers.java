package org.dogwoodwinch.forwarding;

import java.util.OptionalInt;

/**
 * How many instances the connections of a target are dealt out to.
 *
 * <p>Failure: dealt out to the most instances that may ever exist, an instance of nine had thirteen connections to an engine
 * that takes 210. Calls whose answers were lost held them for two seconds each, and others were refused as without a target
 * while the engine had places. Dealt out to those that were seen and a few more, the sum still stays below the bound while
 * spares join: they are seen by the others before callers reach them.
 */
public final class ConnectionSharers {

    /** Of the instances seen, the part that may join before it is seen; spares are few. */
    private static final int JOINING_DIVISOR = 4;

    private static final int MAX_JOINING_COUNT = 4;

    private ConnectionSharers() {}

    /**
     * Counts the sharers.
     *
     * @param maxSeenCount the most instances that were believed in at once; empty before any list was read, not null
     * @param defaultCount what is assumed then
     * @return the instances to deal out to, at least two
     */
    public static int count(OptionalInt maxSeenCount, int defaultCount) {
        if (maxSeenCount.isEmpty()) {
            return defaultCount;
        }
        int seen = maxSeenCount.getAsInt();
        return seen + Math.max(1, Math.min(MAX_JOINING_COUNT, seen / JOINING_DIVISOR));
    }
}
