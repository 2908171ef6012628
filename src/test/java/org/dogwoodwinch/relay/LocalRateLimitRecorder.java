package org.dogwoodwinch.relay;

import java.util.OptionalDouble;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.TargetRateLimits;

/** Records the rate limits that targets state for one instance only, without sending them to peers. */
public record LocalRateLimitRecorder(TargetRateLimits limits) implements StatedRateLimits {

    @Override
    public void recordResponse(Incarnation target, OptionalDouble perSecond, long sentMillis) {
        limits.recordAnswer(target.id(), perSecond, sentMillis);
    }

    @Override
    public void removeTarget(String targetId) {
        limits.remove(targetId);
    }
}
