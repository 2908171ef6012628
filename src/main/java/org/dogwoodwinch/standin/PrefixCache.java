package org.dogwoodwinch.standin;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

/**
 * A stand-in engine's cache of prompt prefixes: least recently used blocks go first.
 *
 * <p>A block's hash covers all text up to its end, so that equal hashes mean equal prefixes.
 */
public final class PrefixCache {

    /** Characters of a prompt in one block. */
    public static final int BLOCK_CHARACTERS = 256;

    private static final int CHARACTERS_PER_TOKEN = 4;

    private final int maxBlocks;
    private final LongConsumer onStored;
    private final LongConsumer onEvicted;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

    /**
     * Creates an empty cache.
     *
     * @param maxBlocks the most blocks it holds
     * @param onStored hears of each block stored, not null
     * @param onEvicted hears of each block evicted, not null
     */
    public PrefixCache(int maxBlocks, LongConsumer onStored, LongConsumer onEvicted) {
        this.maxBlocks = maxBlocks;
        this.onStored = onStored;
        this.onEvicted = onEvicted;
    }

    /**
     * Returns how many blocks the KV cache of an engine holds.
     *
     * @param cost the size of the KV cache, not null
     * @return the count, at least one
     */
    static int maxBlocks(EngineCost cost) {
        return (int) Math.max(1, cost.kvTotalTokens() * CHARACTERS_PER_TOKEN / BLOCK_CHARACTERS);
    }

    /**
     * Returns the chain of block hashes of a prompt; a part shorter than a block at the end has none.
     *
     * @param prompt the prompt, not null
     * @return the hashes, the first block's first
     */
    public static List<Long> blockChain(String prompt) {
        List<Long> chain = new ArrayList<>(prompt.length() / BLOCK_CHARACTERS);
        long previous = 0;
        for (int start = 0; start + BLOCK_CHARACTERS <= prompt.length(); start += BLOCK_CHARACTERS) {
            previous = Hashing.murmur3_128()
                    .newHasher()
                    .putLong(previous)
                    .putString(prompt.substring(start, start + BLOCK_CHARACTERS), StandardCharsets.UTF_8)
                    .hash()
                    .asLong();
            chain.add(previous);
        }
        return chain;
    }

    /**
     * Looks a prompt up and stores it.
     *
     * @param prompt the prompt, not null
     * @return how many of its characters, from the front, were cached before
     */
    public int lookUpAndStore(String prompt) {
        List<Long> chain = blockChain(prompt);
        int hits = 0;
        while (hits < chain.size() && blocks.get(chain.get(hits)) != null) {
            hits++;
        }
        chain.subList(hits, chain.size()).forEach(this::store);
        return hits * BLOCK_CHARACTERS;
    }

    /** Forgets everything, as a crash or a change of model does. */
    public void clear() {
        blocks.clear();
    }

    private void store(long hash) {
        blocks.put(hash, Boolean.TRUE);
        onStored.accept(hash);
        if (blocks.size() > maxBlocks) {
            long eldest = blocks.keySet().iterator().next();
            blocks.remove(eldest);
            onEvicted.accept(eldest);
        }
    }
}
