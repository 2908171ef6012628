package org.dogwoodwinch.forwarding;

import java.util.Optional;

/** Creates rate limits for tests in which no target states one. */
public final class NoRateLimits {

    private NoRateLimits() {}

    /**
     * Creates an instance without limits.
     *
     * @return the instance
     */
    public static TargetRateLimits create() {
        return new TargetRateLimits(() -> 0, new RateLimitShares("i0", Optional::empty, () -> 0));
    }
}
