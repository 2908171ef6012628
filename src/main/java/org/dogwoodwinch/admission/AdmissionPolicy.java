package org.dogwoodwinch.admission;

/**
 * The constants of {@link ClassQueueAdmission}.
 *
 * @param urgentQueueCapacity the most urgent requests that wait for one group
 * @param standardQueueCapacity the most standard requests that wait for one group
 * @param longReadQueueCapacity the most long reads that wait for one group
 * @param urgentWaitMillis an urgent request starts while a target's own wait is shorter than this, in milliseconds
 * @param standardWaitMillis the same for standard requests, in milliseconds
 * @param longReadWaitMillis the same for long reads, in milliseconds
 * @param longReadFloorRatio the part of started work, in tokens, that is kept for waiting long reads, from zero to below one
 * @param refusalFactor how many times an estimated answer time must fit before the deadline
 * @param limitWaitMillis how long a request may wait for its owner's limit, in milliseconds
 * @param limitQueueLength the most requests that wait for one owner's limits
 * @param unheardMillis how old the words of the other instances about their starts may be, in milliseconds: a round of
 *     their exchange
 * @param sweepMillis the time between looks at the queues while something waits, in milliseconds
 */
public record AdmissionPolicy(
        int urgentQueueCapacity,
        int standardQueueCapacity,
        int longReadQueueCapacity,
        long urgentWaitMillis,
        long standardWaitMillis,
        long longReadWaitMillis,
        double longReadFloorRatio,
        double refusalFactor,
        long limitWaitMillis,
        int limitQueueLength,
        long unheardMillis,
        long sweepMillis) {

    /** The policy that daemons use. */
    public static final AdmissionPolicy STANDARD =
            new AdmissionPolicy(2_000, 1_000, 4_000, 600, 400, 250, 0.15, 1.1, 1_500, 256, 500, 20);

    /**
     * Checks the numbers.
     *
     * @throws IllegalArgumentException if the floor is not in [0, 1) or the sweep is not more than zero
     */
    public AdmissionPolicy {
        if (longReadFloorRatio < 0 || longReadFloorRatio >= 1) {
            throw new IllegalArgumentException("longReadFloor must be at least 0 and below 1: " + longReadFloorRatio);
        }
        if (sweepMillis <= 0) {
            throw new IllegalArgumentException("sweepMillis must be more than zero: " + sweepMillis);
        }
    }
}
