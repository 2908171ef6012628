package org.dogwoodwinch.relay;

import java.util.OptionalDouble;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.TargetRateLimits;

/** Records the rate limits that targets state for one instance only, without sending them to peers. */
public record OwnLimits(TargetRateLimits limits) implements StatedLimits {

    @Override
    public void answered(Incarnation target, OptionalDouble perSecond, long sentMillis) {
        limits.recordAnswer(target.id(), perSecond, sentMillis);
    }

    @Override
    public void forget(String targetId) {
        limits.remove(targetId);
    }
}
