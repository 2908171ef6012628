package org.dogwoodwinch.relay;

import java.util.OptionalDouble;
import org.dogwoodwinch.forwarding.Incarnation;

/** Receives the rate limits that targets state in responses; they may be sent to other instances. */
public interface StatedRateLimits {

    /**
     * Records the rate limit, or its absence, in the response of a target.
     *
     * @param target the incarnation of the target that the call was sent to, not null
     * @param callsPerSecond the rate limit for all instances together, in calls per second; empty if it states none,
     *     not null
     * @param sentMillis when the call was sent, in monotonic milliseconds
     */
    void recordResponse(Incarnation target, OptionalDouble callsPerSecond, long sentMillis);

    /**
     * Removes the rate limit of a target that is no longer listed or has restarted.
     *
     * @param targetId the id of the target, not null
     */
    void removeTarget(String targetId);
}
