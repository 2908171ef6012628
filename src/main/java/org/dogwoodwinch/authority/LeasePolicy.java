package org.dogwoodwinch.authority;

/**
 * The times of leases; every instance must use the same.
 *
 * @param termMillis how long a renewal is good for, in milliseconds
 * @param marginMillis how much earlier a holder stops, and how much longer a claimant waits: clocks may run at different
 *     speeds by twice this in a term
 * @param renewMillis how often a holder renews, in milliseconds
 * @param staggerMillis how much longer each instance waits with a claim than the one before it in the order of claims
 */
public record LeasePolicy(long termMillis, long marginMillis, long renewMillis, long staggerMillis) {

    /** What daemons use. */
    public static final LeasePolicy STANDARD = new LeasePolicy(6_000, 1_000, 2_000, 500);

    /**
     * Returns how long after the sending of a renewal its holder may act.
     *
     * @return milliseconds
     */
    public long holderValidityMillis() {
        return termMillis - marginMillis;
    }

    /**
     * Returns how long after the reading of a renewal another may claim.
     *
     * @return milliseconds
     */
    public long claimantWaitMillis() {
        return termMillis + marginMillis;
    }
}
