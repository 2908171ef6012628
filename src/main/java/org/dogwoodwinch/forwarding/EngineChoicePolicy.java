package org.dogwoodwinch.forwarding;

/**
 * The prices of choosing among engines, in milliseconds of expected time to the first event.
 *
 * @param awayFromHomeRatio what a shared token that is read elsewhere than at its home costs beside its reading
 * @param handOverMillis what handing a read prompt to another engine costs beside the transfer
 * @param fetchMillis what fetching kept parts from another engine costs beside the transfer
 * @param arrivalGapMillis the time between two calls at one engine, which wait while it reads a prompt
 * @param runningCallMillis what each call that an engine runs adds to the next one's wait there
 * @param borderMillis what a data centre's border costs
 * @param stallMillis what it costs that a stream pauses for too long, for each stream that the engine generates
 */
public record EngineChoicePolicy(
        double awayFromHomeRatio,
        double handOverMillis,
        double fetchMillis,
        double arrivalGapMillis,
        double runningCallMillis,
        double borderMillis,
        double stallMillis) {

    /** In force unless settings state others. */
    public static final EngineChoicePolicy STANDARD = new EngineChoicePolicy(3, 30, 15, 150, 3, 5, 300);
}
