package org.dogwoodwinch.request;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Bounds retries to a fraction of first attempts, for each owner and for the whole instance.
 *
 * <p>Without it a failing fleet gets its load multiplied by the retries just when it can bear least, and does not come
 * back. A fraction of first attempts bounds the multiple whatever the failure rate; the owner's own bucket keeps one
 * owner's failing group from using up everybody's retries. Safe to call from many threads.
 */
public final class RetryBudget {

    private static final int MAX_OWNERS = 4_096;

    private final double fraction;
    private final double burst;
    private final Cache<String, Bucket> owners = Caffeine.newBuilder()
            .maximumSize(MAX_OWNERS)
            .executor(Runnable::run)
            .build();
    private final Bucket instance;

    /**
     * Creates full buckets.
     *
     * @param fraction retries allowed for each first attempt
     * @param burst the most retries that a bucket saves up, and what it starts with
     */
    public RetryBudget(double fraction, int burst) {
        this.fraction = fraction;
        this.burst = burst;
        this.instance = new Bucket(burst);
    }

    /**
     * Counts a first attempt.
     *
     * @param owner its owner, not null
     */
    public synchronized void onFirstAttempt(String owner) {
        bucket(owner).tokens = Math.min(burst, bucket(owner).tokens + fraction);
        instance.tokens = Math.min(burst, instance.tokens + fraction);
    }

    /**
     * Takes leave for one retry.
     *
     * @param owner its owner, not null
     * @return false where the owner's or the instance's budget is spent; then nothing is taken
     */
    public synchronized boolean tryRetry(String owner) {
        Bucket bucket = bucket(owner);
        if (bucket.tokens < 1 || instance.tokens < 1) {
            return false;
        }
        bucket.tokens -= 1;
        instance.tokens -= 1;
        return true;
    }

    private Bucket bucket(String owner) {
        return owners.get(owner, _name -> new Bucket(burst));
    }

    /** Guarded by the budget's own lock. */
    private static final class Bucket {

        private double tokens;

        Bucket(double tokens) {
            this.tokens = tokens;
        }
    }
}
