package org.dogwoodwinch.admission;

/**
 * Queue capacities, start thresholds and intervals of {@link ClassQueueAdmission}.
 *
 * @param urgentQueueCapacity maximum number of urgent requests queued for one target group
 * @param standardQueueCapacity maximum number of standard requests queued for one target group
 * @param longReadQueueCapacity maximum number of long reads queued for one target group
 * @param urgentWaitMillis longest wait on a target, in milliseconds, at which an urgent request is still started
 * @param standardWaitMillis longest wait on a target, in milliseconds, at which a standard request is still started
 * @param longReadWaitMillis longest wait on a target, in milliseconds, at which a long read is still started
 * @param longReadFloorRatio minimum share of the started tokens that is reserved for waiting long reads, from 0
 *     (inclusive) to 1 (exclusive)
 * @param refusalFactor safety factor applied to the estimated completion time before it is compared with the time left
 *     until the deadline
 * @param limitWaitMillis longest time a request may wait for its owner's limit, in milliseconds; a long read may wait
 *     until its deadline
 * @param limitQueueLength maximum number of requests that wait for one owner's limits
 * @param unheardMillis maximum age of the other instances' reports about the work they started, in milliseconds: one
 *     interval between their reports
 * @param sweepMillis interval between checks of the queues while any request waits, in milliseconds
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

    /** The default policy of the daemon. */
    public static final AdmissionPolicy STANDARD =
            new AdmissionPolicy(2_000, 1_000, 4_000, 600, 400, 250, 0.15, 1.1, 1_500, 256, 500, 20);

    /**
     * Validates the values.
     *
     * @throws IllegalArgumentException if {@code longReadFloorRatio} is not in [0, 1) or {@code sweepMillis} is not
     *     positive
     */
    public AdmissionPolicy {
        if (longReadFloorRatio < 0 || longReadFloorRatio >= 1) {
            throw new IllegalArgumentException(
                    "longReadFloorRatio must be at least 0 and less than 1: " + longReadFloorRatio);
        }
        if (sweepMillis <= 0) {
            throw new IllegalArgumentException("the sweep interval must be greater than 0 ms: " + sweepMillis);
        }
    }
}
