package org.dogwoodwinch.relay;

import java.util.OptionalDouble;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.TargetLimits;

/** Takes what targets state of their limits for one instance alone, and tells nobody. */
public record OwnLimits(TargetLimits limits) implements StatedLimits {

    @Override
    public void answered(Incarnation target, OptionalDouble perSecond, long sentMillis) {
        limits.answered(target.id(), perSecond, sentMillis);
    }

    @Override
    public void forget(String targetId) {
        limits.forget(targetId);
    }
}
