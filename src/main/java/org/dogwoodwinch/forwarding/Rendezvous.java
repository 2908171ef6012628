package org.dogwoodwinch.forwarding;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Ranks targets for a key so that all instances agree without a word, and few keys move when a target goes. */
public final class Rendezvous {

    private static final double LARGEST = 0x1.0p53;

    private Rendezvous() {}

    /**
     * Scores a target for a key; the highest is the key's home.
     *
     * @param key the key, not null
     * @param targetId the target's id, not null
     * @return the score
     */
    public static double score(String key, String targetId) {
        long hash = Hashing.murmur3_128()
                .newHasher()
                .putString(key, StandardCharsets.UTF_8)
                .putByte((byte) 0)
                .putString(targetId, StandardCharsets.UTF_8)
                .hash()
                .asLong();
        double uniform = ((hash >>> 11) + 1) / LARGEST;
        return uniform;
    }
}
