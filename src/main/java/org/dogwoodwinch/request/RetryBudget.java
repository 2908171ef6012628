package org.dogwoodwinch.request;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Limits retries to a fraction of first attempts, for each owner and for the whole instance, with token buckets.
 *
 * <p>Without a limit, retries multiply the load on failing targets when they can bear it least, and the targets do not
 * recover. A fraction of first attempts bounds the multiplication at every failure rate. The bucket per owner prevents
 * an owner whose targets fail from using up the retries of all owners. Thread-safe.
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
     * Creates a budget with full buckets.
     *
     * @param fraction the number of retries allowed per first attempt
     * @param burst the capacity of each bucket in retries, which is also its initial content
     */
    public RetryBudget(double fraction, int burst) {
        this.fraction = fraction;
        this.burst = burst;
        this.instance = new Bucket(burst);
    }

    /**
     * Records a first attempt, which adds to the budget.
     *
     * @param owner the owner of the request, not null
     */
    public synchronized void onFirstAttempt(String owner) {
        bucket(owner).tokens = Math.min(burst, bucket(owner).tokens + fraction);
        instance.tokens = Math.min(burst, instance.tokens + fraction);
    }

    /**
     * Takes one retry from the budget.
     *
     * @param owner the owner of the request, not null
     * @return false if the owner's or the instance's budget is exhausted, in which case nothing is taken
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

    /** A token bucket, guarded by the lock of the budget. */
    private static final class Bucket {

        private double tokens;

        Bucket(double tokens) {
            this.tokens = tokens;
        }
    }
}
