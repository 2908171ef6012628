package org.dogwoodwinch.request;

import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Waits before retries: uniform between zero and a bound that doubles (full jitter), so that requests that failed
 * together do not come back together. Safe to call from many threads.
 */
public final class JitteredBackoff {

    private static final int MAX_DOUBLINGS = 20;

    private final long baseMillis;
    private final long maxMillis;
    private final UniformRandomProvider random;

    /**
     * Creates a back-off.
     *
     * @param baseMillis the bound of the first wait, in milliseconds, more than zero
     * @param maxMillis the bound of any wait, in milliseconds
     * @param random the source of chance, not null; used under this object's lock
     */
    public JitteredBackoff(long baseMillis, long maxMillis, UniformRandomProvider random) {
        this.baseMillis = baseMillis;
        this.maxMillis = maxMillis;
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Draws a wait.
     *
     * @param retry which retry it is, from one
     * @return the wait, in milliseconds
     */
    public synchronized long delayMillis(int retry) {
        int doublings = Math.min(MAX_DOUBLINGS, Math.max(0, retry - 1));
        long boundMillis = Math.min(maxMillis, baseMillis << doublings);
        return random.nextLong(boundMillis + 1);
    }
}
