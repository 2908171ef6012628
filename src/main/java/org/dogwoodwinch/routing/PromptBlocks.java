package org.dogwoodwinch.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * The hashes of a prompt's block chain: each block's hash covers all blocks before it, so equal hashes mean equal
 * prefixes. A partial last block is left out, as engines cache whole blocks only.
 */
public final class PromptBlocks {

    /** The most blocks that are hashed of one prompt, so that a long prompt costs no more than this. */
    public static final int MAX_BLOCKS = 64;

    private static final HashFunction HASH = Hashing.murmur3_128();

    private PromptBlocks() {}

    /**
     * Hashes a prompt as the engines' cache events do.
     *
     * @param prompt the prompt, not null
     * @param blockChars characters of one block, one or more
     * @return the chain's hashes, first block first, {@link #MAX_BLOCKS} at most
     */
    public static long[] hashChain(String prompt, int blockChars) {
        int blockCount = Math.min(MAX_BLOCKS, prompt.length() / blockChars);
        long[] hashes = new long[blockCount];
        long previous = 0;
        for (int i = 0; i < blockCount; i++) {
            previous = HASH.newHasher()
                    .putLong(previous)
                    .putString(prompt.substring(i * blockChars, (i + 1) * blockChars), StandardCharsets.UTF_8)
                    .hash()
                    .asLong();
            hashes[i] = previous;
        }
        return hashes;
    }
}
