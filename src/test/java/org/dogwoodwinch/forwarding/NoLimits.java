package org.dogwoodwinch.forwarding;

import java.util.Optional;

/** A book of limits for tests in which no target names one. */
public final class NoLimits {

    private NoLimits() {}

    /**
     * Creates one.
     *
     * @return the book
     */
    public static TargetLimits book() {
        return new TargetLimits(() -> 0, new LimitShares("i0", Optional::empty, () -> 0));
    }
}
