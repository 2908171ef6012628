package org.dogwoodwinch.routing;

import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Records which prompt prefixes are probably cached on which targets. Bounded; the least recently used blocks are
 * dropped first.
 *
 * <p>The confidence in an entry decays exponentially with a time constant per target, which a cache hit lengthens and a
 * miss shortens. Cache events arrive late and with gaps, so an eviction may go unnoticed; without decay, a target would
 * be preferred for content that it evicted long ago. Not thread-safe; guarded by the {@link FleetView}.
 */
final class PrefixIndex {

    private static final int MAX_HOLDERS = 4;
    private static final double INITIAL_RETENTION_MILLIS = 120_000;
    private static final double MIN_RETENTION_MILLIS = 2_000;
    private static final double MAX_RETENTION_MILLIS = 900_000;
    private static final double HIT_RETENTION_FACTOR = 1.1;
    private static final double MISS_RETENTION_FACTOR = 0.7;
    private static final double MIN_CONFIDENCE = 0.1;

    private final Map<Long, BlockHolders> blocks;
    private final Map<String, Double> retentionMillis = new HashMap<>();

    PrefixIndex(int maxBlocks) {
        this.blocks = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, BlockHolders> _eldest) {
                return size() > maxBlocks;
            }
        };
    }

    /** Records that a target has computed, or is about to compute, a prompt. */
    void addBlocks(long[] blockHashes, String target, long nowMillis) {
        for (long hash : blockHashes) {
            blocks.computeIfAbsent(hash, _key -> new BlockHolders()).put(target, nowMillis);
        }
    }

    /** Removes a target from the blocks of a chain, starting at the given block. */
    void removeBlocks(long[] blockHashes, int fromBlock, String target) {
        for (int i = fromBlock; i < blockHashes.length; i++) {
            BlockHolders holders = blocks.get(blockHashes[i]);
            if (holders != null) {
                holders.remove(target);
            }
        }
    }

    /**
     * Returns the fraction of the chain that is probably cached on a target, from zero to one, weighted by confidence.
     */
    double cachedFraction(long[] blockHashes, String target, long nowMillis) {
        int matched = 0;
        double confidence = 1;
        for (long hash : blockHashes) {
            BlockHolders holders = blocks.get(hash);
            long storedMillis = holders == null ? Long.MIN_VALUE : holders.storedMillis(target);
            if (storedMillis == Long.MIN_VALUE) {
                break;
            }
            confidence = Math.min(confidence, confidence(target, nowMillis - storedMillis));
            if (confidence < MIN_CONFIDENCE) {
                break;
            }
            matched++;
        }
        return blockHashes.length == 0 ? 0 : confidence * matched / blockHashes.length;
    }

    /** Returns the targets that hold the longest known prefix of the chain; empty if none is known. */
    String[] holdersOfLongestPrefix(long[] blockHashes) {
        for (int i = blockHashes.length - 1; i >= 0; i--) {
            BlockHolders holders = blocks.get(blockHashes[i]);
            if (holders != null && holders.count() > 0) {
                return holders.targets();
            }
        }
        return new String[0];
    }

    /** Adjusts how long a target is assumed to retain prefixes, after a cache hit or miss. */
    void adjustRetention(String target, boolean hit) {
        double current = retentionMillis.getOrDefault(target, INITIAL_RETENTION_MILLIS);
        double adjusted = current * (hit ? HIT_RETENTION_FACTOR : MISS_RETENTION_FACTOR);
        retentionMillis.put(target, Math.max(MIN_RETENTION_MILLIS, Math.min(MAX_RETENTION_MILLIS, adjusted)));
    }

    /** Applies one cache event. */
    void onCacheEvent(String target, long hash, boolean stored, long nowMillis) {
        if (stored) {
            blocks.computeIfAbsent(hash, _key -> new BlockHolders()).put(target, nowMillis);
            return;
        }
        BlockHolders holders = blocks.get(hash);
        if (holders != null) {
            holders.remove(target);
        }
    }

    /** Removes a target whose cache content is unknown after a restart or a change of its model. */
    void removeTarget(String target) {
        blocks.values().forEach(holders -> holders.remove(target));
        retentionMillis.remove(target);
    }

    int size() {
        return blocks.size();
    }

    private double confidence(String target, long ageMillis) {
        return Math.exp(-ageMillis / retentionMillis.getOrDefault(target, INITIAL_RETENTION_MILLIS));
    }

    /** The targets that hold one block, the most recent first; at most {@link #MAX_HOLDERS}. */
    private static final class BlockHolders {

        private final String[] names = new String[MAX_HOLDERS];
        private final long[] storedMillis = new long[MAX_HOLDERS];
        private int count;

        void put(String target, long nowMillis) {
            remove(target);
            if (count == MAX_HOLDERS) {
                count--;
            }
            System.arraycopy(names, 0, names, 1, count);
            System.arraycopy(storedMillis, 0, storedMillis, 1, count);
            names[0] = target;
            storedMillis[0] = nowMillis;
            count++;
        }

        void remove(String target) {
            for (int i = 0; i < count; i++) {
                if (names[i].equals(target)) {
                    System.arraycopy(names, i + 1, names, i, count - i - 1);
                    System.arraycopy(storedMillis, i + 1, storedMillis, i, count - i - 1);
                    count--;
                    return;
                }
            }
        }

        long storedMillis(String target) {
            for (int i = 0; i < count; i++) {
                if (names[i].equals(target)) {
                    return storedMillis[i];
                }
            }
            return Long.MIN_VALUE;
        }

        int count() {
            return count;
        }

        String[] targets() {
            return Arrays.copyOf(names, count);
        }
    }
}
