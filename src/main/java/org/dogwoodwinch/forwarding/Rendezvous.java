package org.dogwoodwinch.forwarding;

/** Ranks targets for a key so that all instances agree without a word, and few keys move when a target goes. */
public final class Rendezvous {

    private static final double UNIFORM_RANGE = 0x1.0p53;

    /** Offset and prime of the 64-bit FNV-1a hash. */
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;

    private static final long FNV_PRIME = 0x100000001b3L;

    /** The multipliers of the finalizer of MurmurHash3, which lets each bit of the hash bear on all bits of the score. */
    private static final long FIRST_MULTIPLIER = 0xff51afd7ed558ccdL;

    private static final long SECOND_MULTIPLIER = 0xc4ceb9fe1a85ec53L;

    private static final int SHIFT = 33;

    private Rendezvous() {}

    /**
     * Scores a target for a key; the highest is the key's home.
     *
     * @param key the key, not null
     * @param targetId the target's id, not null
     * @return the score
     */
    public static double score(String key, String targetId) {
        // A score for each target of each call: a library's hash objects cost the interpreter more than the call
        // itself.
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
