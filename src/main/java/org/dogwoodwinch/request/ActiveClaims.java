package org.dogwoodwinch.request;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The key hashes of the acquired claims whose requests are in progress, by claim id. The oldest claim is evicted when too
 * many are active, which removes service calls that were never answered. Not thread-safe.
 */
final class ActiveClaims {

    private static final int MAX_CLAIMS = 65_536;

    private final Map<String, String> keyHashByClaimId = new LinkedHashMap<>();

    /** Adds a claim that was acquired. */
    void add(String claimId, String keyHash) {
        keyHashByClaimId.put(claimId, keyHash);
        if (keyHashByClaimId.size() > MAX_CLAIMS) {
            keyHashByClaimId.remove(keyHashByClaimId.keySet().iterator().next());
        }
    }

    boolean contains(String claimId) {
        return keyHashByClaimId.containsKey(claimId);
    }

    /** Returns the key hash of a claim; empty if the claim is not active. */
    Optional<String> find(String claimId) {
        return Optional.ofNullable(keyHashByClaimId.get(claimId));
    }

    /** Removes a claim whose request has ended, and returns its key hash; empty if the claim is not active. */
    Optional<String> remove(String claimId) {
        return Optional.ofNullable(keyHashByClaimId.remove(claimId));
    }
}
