package org.dogwoodwinch.request;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * A request to claim an idempotency key.
 *
 * @param keyHash the hash of the owner's name and the caller's key; the owner is included so that equal keys of two
 *     owners do not collide, not null
 * @param fingerprint the request's fingerprint; one key belongs to one fingerprint
 * @param pointer the stream that the request will be sent to, not null
 */
public record ClaimRequest(String keyHash, long fingerprint, StreamPointer pointer) {

    /** 128 bits: collisions among the retained keys are negligible, and hundreds of hashes fit into one append. */
    private static final int HASH_HEX_DIGITS = 32;

    /** Checks that no component is null. */
    public ClaimRequest {
        Objects.requireNonNull(keyHash, "keyHash");
        Objects.requireNonNull(pointer, "pointer");
    }

    /**
     * Creates the claim for a request.
     *
     * @param request a request with an idempotency key, not null
     * @param pointer the stream that the request will be sent to, not null
     * @return the claim
     * @throws java.util.NoSuchElementException if the request has no idempotency key
     */
    public static ClaimRequest of(CallerRequest request, StreamPointer pointer) {
        String owner = request.entry().owner();
        String scopedKey =
                owner.length() + ":" + owner + request.idempotencyKey().orElseThrow();
        String hash =
                Hashing.sha256().hashString(scopedKey, StandardCharsets.UTF_8).toString();
        return new ClaimRequest(hash.substring(0, HASH_HEX_DIGITS), request.fingerprint(), pointer);
    }
}
