package org.dogwoodwinch.forwarding;

/**
 * The prices of choosing among engines, in milliseconds of expected time to the first event.
 *
 * @param awayFromHomeRatio what a shared token that is read elsewhere than at its home costs beside its reading
 * @param prefillWeight the share of keys whose home is an engine that only reads, against one that also generates
 * @param handOverMillis what handing a read prompt to another engine costs beside the transfer
 * @param runningCallMillis what each call that an engine runs adds to the next one's wait there
 * @param borderMillis what a data centre's border costs
 */
public record EngineChoicePolicy(
        double awayFromHomeRatio,
        double prefillWeight,
        double handOverMillis,
        double runningCallMillis,
        double borderMillis) {

    /** In force unless settings state others. */
    public static final EngineChoicePolicy STANDARD = new EngineChoicePolicy(40, 4, 30, 3, 5);
}
