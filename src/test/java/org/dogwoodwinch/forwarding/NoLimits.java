package org.dogwoodwinch.forwarding;

import java.util.Optional;

/** Creates rate limits for tests in which no target states one. */
public final class NoLimits {

    private NoLimits() {}

    /**
     * Creates an instance without limits.
     *
     * @return the instance
     */
    public static TargetLimits book() {
        return new TargetLimits(() -> 0, new LimitShares("i0", Optional::empty, () -> 0));
    }
}
