package org.dogwoodwinch.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Computes the hashes of a prompt's blocks. Each hash covers its block and all blocks before it, so equal hashes mean
 * equal prefixes. A partial last block is left out, as engines cache whole blocks only.
 */
public final class PromptBlocks {

    /** The maximum number of blocks hashed per prompt, which bounds the cost of a long prompt. */
    public static final int MAX_BLOCKS = 64;

    private static final HashFunction HASH = Hashing.murmur3_128();

    private PromptBlocks() {}

    /**
     * Computes the same hashes of a prompt as the engines' cache events carry.
     *
     * @param prompt the prompt, not null
     * @param blockChars the characters per block, one or more
     * @return the hashes, first block first, {@link #MAX_BLOCKS} at most
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
