package org.dogwoodwinch.request;

import java.util.Locale;

/**
 * All reasons for which a request is refused, as reported to callers in {@code reason} and as counted in the metrics.
 */
public enum RefusalReason {
    /** The path is not served by this daemon. */
    UNKNOWN_PATH(404),
    /** The path does not support this method. */
    METHOD_NOT_ALLOWED(405),
    /** A field is missing, of the wrong type or out of range; the refusal contains its name. */
    INVALID_REQUEST(400),
    /** The body is larger than the configured limit. */
    BODY_TOO_LARGE(413),
    /** The request line or the headers are larger than the configured limit. */
    HEADERS_TOO_LARGE(431),
    /** The caller sent its request too slowly. */
    CALLER_TOO_SLOW(408),
    /** The bearer token is missing or unknown. */
    UNAUTHENTICATED(401),
    /** The entry belongs to another owner. */
    FORBIDDEN(403),
    /** The catalogue does not contain the entry. */
    UNKNOWN_ENTRY(404),
    /** The prompt or the requested answer length exceeds the limit of the entry. */
    TOO_MANY_TOKENS(400),
    /** This instance has not received a catalogue yet. */
    NOT_READY(503),
    /** This instance is shutting down. */
    STOPPING(503),
    /** The owner or its entry has reached its limit of requests in flight. */
    CONCURRENCY_LIMIT(429),
    /** The owner or its entry has used up its current token quota. */
    TOKEN_RATE_LIMIT(429),
    /** The queue of the request's work class is full. */
    QUEUE_FULL(503),
    /** The deadline cannot be met under the current load. */
    DEADLINE_UNMEETABLE(503),
    /** The deadline passed. */
    DEADLINE_PASSED(504),
    /** No target currently serves the entry. */
    NO_TARGET(503),
    /** Every target that was tried refused the request because of overload. */
    TARGETS_OVERLOADED(503),
    /** An attempt failed and the retry budget is exhausted. */
    RETRY_BUDGET(503),
    /** One or more attempts failed, and a further attempt is not allowed or would not help. */
    TARGET_FAILED(502),
    /** The answer was interrupted after part of it had been delivered, and could not be resumed. */
    ANSWER_CUT(502),
    /** The request crashed targets and is in quarantine. */
    QUARANTINED(422),
    /** The request must not run twice, and the log that would show whether it already ran is unavailable. */
    LOG_UNAVAILABLE(503),
    /** The idempotency key was used for a different request. */
    KEY_REUSED(422),
    /** A request with this idempotency key may have run, and its answer cannot be retrieved. */
    MAY_HAVE_RUN(409),
    /** An internal error. */
    INTERNAL(500);

    private final int status;

    RefusalReason(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status of a refusal for this reason.
     *
     * @return the HTTP status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns the stable name that is reported to callers and used in metrics.
     *
     * @return the name in lower case with underscores
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
