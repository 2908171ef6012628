package org.dogwoodwinch.request;

import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Exponential back-off with full jitter: each delay is uniform between zero and a bound that doubles with each retry,
 * so that requests that failed together are not retried together. Thread-safe.
 */
public final class JitteredBackoff {

    private static final int MAX_DOUBLINGS = 20;

    private final long baseMillis;
    private final long maxMillis;
    private final UniformRandomProvider random;

    /**
     * Creates a back-off.
     *
     * @param baseMillis the upper bound of the first delay, in milliseconds, more than zero
     * @param maxMillis the upper bound of every delay, in milliseconds
     * @param random the source of randomness, not null; used under this object's lock
     */
    public JitteredBackoff(long baseMillis, long maxMillis, UniformRandomProvider random) {
        this.baseMillis = baseMillis;
        this.maxMillis = maxMillis;
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Returns a random delay.
     *
     * @param retry the number of the retry, starting at one
     * @return the delay, in milliseconds
     */
    public synchronized long delayMillis(int retry) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, retry - 1));
        long boundMillis = Math.min(maxMillis, baseMillis << doublings);
        return random.nextLong(boundMillis + 1);
    }
}
