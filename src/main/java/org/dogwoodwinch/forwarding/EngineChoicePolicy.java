package org.dogwoodwinch.forwarding;

/**
 * The prices of choosing among engines, in milliseconds of expected time to the first event.
 *
 * @param affinityMissRatio what a shared token that is read elsewhere than at its home costs beside its reading
 * @param kvHandoffMillis what handing a read prompt to another engine costs beside the transfer
 * @param kvFetchMillis what fetching kept parts from another engine costs beside the transfer
 * @param interarrivalMillis the time between two calls at one engine, which wait while it reads a prompt
 * @param runningCallDelayMillis what each call that an engine runs adds to the next one's wait there
 * @param crossDataCentreMillis what a data centre's border costs
 * @param stallMillis what it costs that a stream pauses for too long, for each stream that the engine generates
 */
public record EngineChoicePolicy(
        double affinityMissRatio,
        double kvHandoffMillis,
        double kvFetchMillis,
        double interarrivalMillis,
        double runningCallDelayMillis,
        double crossDataCentreMillis,
        double stallMillis) {

    /** In force unless settings state others. */
    public static final EngineChoicePolicy STANDARD = new EngineChoicePolicy(3, 30, 15, 150, 3, 5, 300);
}
