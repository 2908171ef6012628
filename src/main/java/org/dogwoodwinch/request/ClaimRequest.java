package org.dogwoodwinch.request;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * What is claimed.
 *
 * @param keyHash the owner's name and the caller's key, hashed so that two owners' keys never meet, not null
 * @param fingerprint the request's fingerprint; one key belongs to one fingerprint
 * @param pointer where the request is to be sent, not null
 */
public record ClaimRequest(String keyHash, long fingerprint, StreamPointer pointer) {

    /** 128 bits: enough that no two keys of one key memory meet, short enough to batch hundreds in an append. */
    private static final int HASH_HEX_DIGITS = 32;

    /** Checks the parts. */
    public ClaimRequest {
        Objects.requireNonNull(keyHash, "keyHash");
        Objects.requireNonNull(pointer, "pointer");
    }

    /**
     * Makes the claim of a request.
     *
     * @param request a request with an idempotency key, not null
     * @param pointer where it is to be sent, not null
     * @return the claim
     * @throws java.util.NoSuchElementException if the request has no key
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
