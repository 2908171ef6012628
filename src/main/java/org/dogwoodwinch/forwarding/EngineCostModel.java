package org.dogwoodwinch.forwarding;

/**
 * The cost model for choosing among engines. Costs are in milliseconds of expected time to the first event.
 *
 * @param affinityMissRatio cost of each shared token that is prefilled at an engine other than its affinity engine,
 *     as a multiple of its prefill time
 * @param kvHandoffMillis fixed cost of handing a prefilled prompt to another engine, in addition to the transfer
 * @param kvFetchMillis fixed cost of fetching cached segments from another engine, in addition to the transfer
 * @param interarrivalMillis mean time between two calls at one engine; calls that arrive during a prefill wait for it
 * @param runningCallDelayMillis delay that each call running on an engine adds to the next one
 * @param crossDataCentreMillis cost of crossing from one data centre to another
 */
public record EngineCostModel(
        double affinityMissRatio,
        double kvHandoffMillis,
        double kvFetchMillis,
        double interarrivalMillis,
        double runningCallDelayMillis,
        double crossDataCentreMillis) {

    /** Used unless the settings define others. */
    public static final EngineCostModel DEFAULT = new EngineCostModel(3, 30, 15, 150, 3, 5);
}
