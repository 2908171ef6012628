package org.dogwoodwinch.standin;

/**
 * The cost formula of a stand-in engine, shared by the HTTP stand-in and by trace replay.
 *
 * <p>An engine works in steps. A step computes at most a chunk of prompt tokens and one token for each sequence of the
 * batch; it takes the base time, plus the prompt tokens at the prefill speed, plus a little for each sequence.
 *
 * @param prefillTokensPerSecond prompt tokens computed a second
 * @param stepBaseMillis time of a step that does nothing else, in milliseconds
 * @param stepPerSequenceMillis time that each generating sequence adds to a step, in milliseconds
 * @param prefillChunkTokens the most prompt tokens in one step
 * @param maxSequences the most sequences in the batch
 * @param kvBytesPerToken KV cache of one token
 * @param kvTotalBytes KV cache there is
 * @param kvTransferBytesPerSecond speed of a KV export and import
 * @param roleChangeMillis how long a role change takes the engine away, in milliseconds
 * @param modelLoadMillis how long loading a model takes the engine away, in milliseconds
 */
public record EngineCost(
        double prefillTokensPerSecond,
        double stepBaseMillis,
        double stepPerSequenceMillis,
        int prefillChunkTokens,
        int maxSequences,
        long kvBytesPerToken,
        long kvTotalBytes,
        double kvTransferBytesPerSecond,
        long roleChangeMillis,
        long modelLoadMillis) {

    /** The engine that tests, demo and traces use unless they say otherwise. */
    public static final EngineCost STANDARD =
            new EngineCost(8_000, 12, 0.4, 2_048, 48, 131_072, 24_000_000_000L, 6e9, 4_000, 20_000);

    /**
     * Returns how long a step takes.
     *
     * @param promptTokens prompt tokens computed in it
     * @param sequences sequences that each get one token in it
     * @return milliseconds
     */
    public double stepMillis(int promptTokens, int sequences) {
        return stepBaseMillis + promptTokens * 1_000.0 / prefillTokensPerSecond + sequences * stepPerSequenceMillis;
    }

    /**
     * Returns how many tokens the KV cache holds.
     *
     * @return the count
     */
    public long kvTotalTokens() {
        return kvTotalBytes / kvBytesPerToken;
    }

    /**
     * Returns how long moving a KV cache to another engine takes.
     *
     * @param tokens tokens in the cache
     * @return milliseconds
     */
    public double kvTransferMillis(long tokens) {
        return tokens * (double) kvBytesPerToken * 1_000.0 / kvTransferBytesPerSecond;
    }
}
