package org.dogwoodwinch.forwarding;

/**
 * The thresholds for changing the stage of an engine.
 *
 * @param shortHorizonMillis time constant of the average that follows recent load
 * @param longHorizonMillis time constant of the average that follows lasting load; a change needs both averages
 * @param minWaitMillis minimum wait for prefill; below it, no call is late because of the wait
 * @param minWaitRatio how many times longer prompts must wait at one stage than at the other, allowing for one engine
 *     less there; it prevents engines from moving back and forth between two equally loaded stages
 * @param maxBusyRatio maximum share of the decode slots in use after an engine has left the decode stage
 * @param minDecodeCount minimum number of decode engines, so that the crash of one does not interrupt the service
 * @param dwellMillis time between two changes, in addition to the time for which the engine is unavailable, so that
 *     the effect of the first change shows before the next
 */
public record StagePlanPolicy(
        long shortHorizonMillis,
        long longHorizonMillis,
        double minWaitMillis,
        double minWaitRatio,
        double maxBusyRatio,
        int minDecodeCount,
        long dwellMillis) {

    /** Used unless the settings define others. */
    public static final StagePlanPolicy DEFAULT = new StagePlanPolicy(1_000, 4_000, 60, 3, 0.8, 3, 1_500);
}
