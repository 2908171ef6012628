package org.dogwoodwinch.authority;

/**
 * The lease timings; all instances must use the same values.
 *
 * @param termMillis the lease term that a renewal starts, in milliseconds
 * @param marginMillis the time that the holder subtracts from the term and a claimant adds to it, in milliseconds;
 *     tolerates clocks whose rates differ by up to twice this value in a term
 * @param renewMillis the interval between two renewals, and before a claim is repeated, in milliseconds
 * @param claimStaggerMillis the additional wait before a claim for each rank in the order of claims, in milliseconds
 */
public record LeasePolicy(long termMillis, long marginMillis, long renewMillis, long claimStaggerMillis) {

    /** The default timings. */
    public static final LeasePolicy DEFAULT = new LeasePolicy(6_000, 1_000, 2_000, 500);

    /**
     * Returns how long a holder may act after it has sent a renewal.
     *
     * @return the time in milliseconds
     */
    public long holderValidityMillis() {
        return termMillis - marginMillis;
    }

    /**
     * Returns how long another instance must wait, after it has read a renewal, before it may claim the group.
     *
     * @return the time in milliseconds
     */
    public long claimantWaitMillis() {
        return termMillis + marginMillis;
    }
}
