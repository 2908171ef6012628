package org.dogwoodwinch.request;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.catalogue.CatalogueEntry;

/**
 * One authenticated, well-formed request.
 *
 * @param requestId names the request; the caller gets it back, not null
 * @param entry the catalogue entry it is for, as of its arrival, not null
 * @param work what is to be done, not null
 * @param idempotencyKey the caller's own key, scoped to the owner; empty where it sent none, not null
 * @param fingerprint a hash of entry and work: equal for a resend, whatever its key or instance
 * @param arrivedMillis when it arrived, in monotonic milliseconds of this instance
 * @param deadlineMillis when its answer is worth nothing any more, in monotonic milliseconds of this instance
 */
public record CallerRequest(
        String requestId,
        CatalogueEntry entry,
        Work work,
        Optional<String> idempotencyKey,
        long fingerprint,
        long arrivedMillis,
        long deadlineMillis) {

    /** Checks the parts. */
    public CallerRequest {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(entry, "entry");
        Objects.requireNonNull(work, "work");
        Objects.requireNonNull(idempotencyKey, "idempotencyKey");
    }

    /**
     * Returns what is left of the deadline.
     *
     * @param nowMillis the monotonic time now, in milliseconds
     * @return milliseconds, zero where the deadline has passed
     */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, deadlineMillis - nowMillis);
    }
}
