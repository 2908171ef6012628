package org.dogwoodwinch.admission;

/**
 * Queue capacities, start thresholds and intervals of {@link QueueingAdmissionController}.
 *
 * @param urgentQueueCapacity maximum number of urgent requests queued for one target group
 * @param standardQueueCapacity maximum number of standard requests queued for one target group
 * @param longReadQueueCapacity maximum number of long reads queued for one target group
 * @param urgentMaxTargetWaitMillis longest wait on a target, in milliseconds, at which an urgent request is still started
 * @param standardMaxTargetWaitMillis longest wait on a target, in milliseconds, at which a standard request is still started
 * @param longReadMaxTargetWaitMillis longest wait on a target, in milliseconds, at which a long read is still started
 * @param longReadFloorRatio minimum share of the started tokens that is reserved for waiting long reads, from 0
 *     (inclusive) to 1 (exclusive)
 * @param completionSafetyFactor safety factor applied to the estimated completion time before it is compared with the time left
 *     until the deadline
 * @param maxLimitWaitMillis longest time a request may wait for its owner's limit, in milliseconds; a long read may wait
 *     until its deadline
 * @param limitQueueCapacity maximum number of requests that wait for one owner's limits
 * @param peerReportIntervalMillis maximum age of the other instances' reports about the work they started, in milliseconds: one
 *     interval between their reports
 * @param sweepIntervalMillis interval between checks of the queues while any request waits, in milliseconds
 */
public record AdmissionPolicy(
        int urgentQueueCapacity,
        int standardQueueCapacity,
        int longReadQueueCapacity,
        long urgentMaxTargetWaitMillis,
        long standardMaxTargetWaitMillis,
        long longReadMaxTargetWaitMillis,
        double longReadFloorRatio,
        double completionSafetyFactor,
        long maxLimitWaitMillis,
        int limitQueueCapacity,
        long peerReportIntervalMillis,
        long sweepIntervalMillis) {

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
        if (sweepIntervalMillis <= 0) {
            throw new IllegalArgumentException("the sweep interval must be greater than 0 ms: " + sweepIntervalMillis);
        }
    }
}
