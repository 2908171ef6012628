package org.dogwoodwinch.roles;

/**
 * How fast the engines of a group are, for predictions.
 *
 * @param prefillTokensPerMilli prompt tokens computed a millisecond
 * @param stepBaseMillis time of a step that generates nothing, in milliseconds
 * @param stepPerSequenceMillis time that one sequence adds to a step, in milliseconds
 * @param maxSequences the most sequences in the batch
 * @param kvTransferMillisPerToken time to move the KV cache of one token, in milliseconds
 * @param roleChangeMillis how long a role change takes an engine away, in milliseconds
 */
public record EngineSpeed(
        double prefillTokensPerMilli,
        double stepBaseMillis,
        double stepPerSequenceMillis,
        int maxSequences,
        double kvTransferMillisPerToken,
        long roleChangeMillis) {

    /** The speed assumed unless the settings say otherwise. */
    public static final EngineSpeed STANDARD = new EngineSpeed(8, 12, 0.4, 48, 0.022, 4_000);
}
