package org.dogwoodwinch.http;

/** The names of the headers that are this system's own. */
public final class EdgeHeaders {

    /** Carries the caller's own key: requests of one owner with the same key are one request. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** Carries how long the answer is worth something, in milliseconds from the arrival on. */
    public static final String DEADLINE_MILLIS = "Dogwoodwinch-Deadline-Millis";

    /** Carries the request's id back to the caller. */
    public static final String REQUEST_ID = "Dogwoodwinch-Request-Id";

    /** Carries the reason of a refusal, so that a plain service's own error is not taken for one. */
    public static final String REFUSAL = "Dogwoodwinch-Refusal";

    private EdgeHeaders() {}
}
