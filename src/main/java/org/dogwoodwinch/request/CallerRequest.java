package org.dogwoodwinch.request;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.catalogue.CatalogueEntry;

/**
 * An authenticated, validated request of a caller.
 *
 * @param requestId the id of the request, which is returned to the caller, not null
 * @param entry the catalogue entry that the request addresses, as it was on arrival, not null
 * @param operation the operation to perform, not null
 * @param idempotencyKey the caller's idempotency key, scoped to the owner; empty if none was sent, not null
 * @param fingerprint a hash of entry and operation, equal for every resend of the request regardless of its key or of
 *     the instance that receives it
 * @param arrivedMillis the arrival time, in monotonic milliseconds of this instance
 * @param deadlineMillis the time after which the answer is useless, in monotonic milliseconds of this instance
 */
public record CallerRequest(
        String requestId,
        CatalogueEntry entry,
        Operation operation,
        Optional<String> idempotencyKey,
        long fingerprint,
        long arrivedMillis,
        long deadlineMillis) {

    /** Checks that no component is null. */
    public CallerRequest {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(entry, "entry");
        Objects.requireNonNull(operation, "operation");
        Objects.requireNonNull(idempotencyKey, "idempotencyKey");
    }

    /**
     * Returns the time left until the deadline.
     *
     * @param nowMillis the current monotonic time, in milliseconds
     * @return the remaining time in milliseconds, zero if the deadline has passed
     */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, deadlineMillis - nowMillis);
    }
}
