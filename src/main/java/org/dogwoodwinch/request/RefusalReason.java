package org.dogwoodwinch.request;

import java.util.Locale;

/** Every reason for which a request is refused; the closed list behind the callers' {@code reason} and the counters. */
public enum RefusalReason {
    /** The path is not one of ours. */
    UNKNOWN_PATH(404),
    /** The path does not take this method. */
    METHOD_NOT_ALLOWED(405),
    /** A field is missing, of the wrong type or out of range; the problem names it. */
    INVALID_REQUEST(400),
    /** The body is larger than the settings allow. */
    BODY_TOO_LARGE(413),
    /** The request line or the headers are larger than the settings allow. */
    HEADERS_TOO_LARGE(431),
    /** The caller sent its request too slowly. */
    CALLER_TOO_SLOW(408),
    /** The bearer token is missing or nobody's. */
    UNAUTHENTICATED(401),
    /** The entry is another owner's. */
    FORBIDDEN(403),
    /** The catalogue has no such entry. */
    UNKNOWN_ENTRY(404),
    /** The prompt or the wanted answer is longer than the entry allows. */
    TOO_MANY_TOKENS(400),
    /** This instance has no catalogue yet. */
    NOT_READY(503),
    /** This instance is stopping. */
    STOPPING(503),
    /** The owner, or its entry, has as many requests in flight as it may. */
    CONCURRENCY_LIMIT(429),
    /** The owner, or its entry, used the tokens it may for now. */
    TOKEN_RATE_LIMIT(429),
    /** The queue of this class of work is full. */
    QUEUE_FULL(503),
    /** The deadline cannot be met as things stand. */
    DEADLINE_UNMEETABLE(503),
    /** The deadline passed. */
    DEADLINE_PASSED(504),
    /** No target serves the entry at the moment. */
    NO_TARGET(503),
    /** Each target that was asked refused for load. */
    TARGETS_OVERLOADED(503),
    /** An attempt failed and the retry budget is spent. */
    RETRY_BUDGET(503),
    /** Attempts failed and no further one is allowed or useful. */
    TARGET_FAILED(502),
    /** The answer was cut after a part of it had gone out, and could not be resumed. */
    ANSWER_CUT(502),
    /** The request crashed targets and is in quarantine. */
    QUARANTINED(422),
    /** The request may not run twice, and the log that would show whether it already ran is out. */
    LOG_UNAVAILABLE(503),
    /** The idempotency key was used for a different request. */
    KEY_REUSED(422),
    /** A request with this idempotency key may have run, and its answer is gone. */
    MAY_HAVE_RUN(409),
    /** A fault of this system. */
    INTERNAL(500);

    private final int status;

    RefusalReason(int status) {
        this.status = status;
    }

    /**
     * Returns the HTTP status.
     *
     * @return the status
     */
    public int status() {
        return status;
    }

    /**
     * Returns the stable name that callers and counters see.
     *
     * @return the name in lower case with underscores
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
