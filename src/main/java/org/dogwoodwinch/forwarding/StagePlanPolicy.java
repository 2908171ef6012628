package org.dogwoodwinch.forwarding;

/**
 * When an engine changes its stage.
 *
 * @param shortHorizonMillis over which a load counts as recent
 * @param longHorizonMillis over which it counts as lasting; only what is both changes anything
 * @param minWaitMillis the time that prompts wait to be read below which nobody is late because of it
 * @param minWaitRatio how many times longer prompts have to wait at the one stage than at the other, with one engine
 *     less there: two stages that are alike must not trade engines to and fro
 * @param maxBusyRatio the part of the generating slots that may be taken after an engine has left them
 * @param minDecodeCount engines that generate whatever happens, so that the crash of one does not end the service
 * @param dwellMillis the time between two changes, beside the time that the engine is away: what the first one brought has
 *     to show before the next
 */
public record StagePlanPolicy(
        long shortHorizonMillis,
        long longHorizonMillis,
        double minWaitMillis,
        double minWaitRatio,
        double maxBusyRatio,
        int minDecodeCount,
        long dwellMillis) {

    /** In force unless settings state others. */
    public static final StagePlanPolicy STANDARD = new StagePlanPolicy(1_000, 4_000, 60, 3, 0.8, 3, 1_500);
}
