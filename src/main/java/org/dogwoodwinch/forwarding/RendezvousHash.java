package org.dogwoodwinch.forwarding;

/**
 * Ranks targets for a key by rendezvous hashing, so that all instances compute the same ranking without communication,
 * and few keys move when a target is removed.
 */
public final class RendezvousHash {

    private static final double UNIFORM_RANGE = 0x1.0p53;

    /** Offset basis and prime of the 64-bit FNV-1a hash. */
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;

    private static final long FNV_PRIME = 0x100000001b3L;

    /** Multipliers of the MurmurHash3 finalizer, which makes each bit of the hash affect all bits of the score. */
    private static final long FIRST_MULTIPLIER = 0xff51afd7ed558ccdL;

    private static final long SECOND_MULTIPLIER = 0xc4ceb9fe1a85ec53L;

    private static final int SHIFT = 33;

    private RendezvousHash() {}

    /**
     * Returns the score of a target for a key. The target with the highest score ranks first for the key.
     *
     * @param key the key, not null
     * @param targetId the target's id, not null
     * @return the score, greater than 0 and at most 1
     */
    public static double score(String key, String targetId) {
        // Computed by hand for each target of each call: in interpreted code, the hash objects of a library cost more
        // than the call itself.
        long hash = fnv1a((fnv1a(FNV_OFFSET, key) ^ 0xff) * FNV_PRIME, targetId);
        hash = (hash ^ (hash >>> SHIFT)) * FIRST_MULTIPLIER;
        hash = (hash ^ (hash >>> SHIFT)) * SECOND_MULTIPLIER;
        hash ^= hash >>> SHIFT;
        double uniform = ((hash >>> 11) + 1) / UNIFORM_RANGE;
        return uniform;
    }

    private static long fnv1a(long initialHash, String text) {
        long hash = initialHash;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }
}
