package org.dogwoodwinch.forwarding;

import java.util.OptionalLong;

/**
 * How long connections to other instances took to open while targets were probed.
 *
 * <p>Failure: the queues of this instance's own link are full. No target answers a probe in time, and the instance
 * takes that for a cut, though every connection is late. The links to other instances are not part of a cut, so a
 * connection to one of them that opens or is refused quickly shows that the queues are short.
 *
 * @param startedCount the number of connections that were tried
 * @param shortestMillis the shortest time after which one was open or refused; empty if none was yet
 */
public record LinkDelay(int startedCount, OptionalLong shortestMillis) {

    /** The delay if there is no other instance to connect to. */
    public static final LinkDelay NOT_MEASURED = new LinkDelay(0, OptionalLong.empty());

    /** Half of the time that a target has to answer a probe, and many round trips between data centres. */
    public static final long SLOW_MILLIS = 250;

    /**
     * Returns whether the link was too slow for a probe without an answer to prove anything.
     *
     * @return false if nothing was measured
     */
    public boolean isSlow() {
        return startedCount > 0 && (shortestMillis.isEmpty() || shortestMillis.getAsLong() > SLOW_MILLIS);
    }
}
