package org.dogwoodwinch.roles;

/**
 * The speed of the engines of a group, for predictions.
 *
 * @param prefillTokensPerMilli prompt tokens computed per millisecond
 * @param stepBaseMillis the duration of a step without sequences, in milliseconds
 * @param stepPerSequenceMillis the time that each sequence adds to a step, in milliseconds
 * @param maxSequences the maximum number of sequences in the batch
 * @param kvTransferMillisPerToken the time to transfer the KV cache of one token, in milliseconds
 * @param roleChangeMillis the time for which a role change makes an engine unavailable, in milliseconds
 */
public record EngineSpeed(
        double prefillTokensPerMilli,
        double stepBaseMillis,
        double stepPerSequenceMillis,
        int maxSequences,
        double kvTransferMillisPerToken,
        long roleChangeMillis) {

    /** The speed assumed unless the settings specify another one. */
    public static final EngineSpeed STANDARD = new EngineSpeed(8, 12, 0.4, 48, 0.022, 4_000);
}
