package org.dogwoodwinch.request;

import java.util.Objects;

/**
 * The refusal of a request, as returned to the caller.
 *
 * @param reason the reason, not null
 * @param runState whether the request may have run, not null
 * @param detail a human-readable description, not null
 * @param field the invalid field of the request; empty if the refusal is not about a field, not null
 * @param retryAfterMillis the delay after which a retry is useful, in milliseconds; zero if a retry does not help
 */
public record Refusal(RefusalReason reason, RunState runState, String detail, String field, long retryAfterMillis) {

    /** Checks that no component is null. */
    public Refusal {
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(runState, "runState");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(field, "field");
    }

    /**
     * Creates the refusal of a request that did not run.
     *
     * @param reason the reason, not null
     * @param detail a human-readable description, not null
     * @param retryAfterMillis the delay after which a retry is useful, in milliseconds; zero if a retry does not help
     * @return the refusal
     */
    public static Refusal notRun(RefusalReason reason, String detail, long retryAfterMillis) {
        return new Refusal(reason, RunState.NOT_RUN, detail, "", retryAfterMillis);
    }

    /**
     * Creates the refusal of a request that may have run.
     *
     * @param reason the reason, not null
     * @param detail a human-readable description, not null
     * @return the refusal
     */
    public static Refusal mayHaveRun(RefusalReason reason, String detail) {
        return new Refusal(reason, RunState.MAY_HAVE_RUN, detail, "", 0);
    }

    /**
     * Creates the refusal of a request with an invalid field, which did not run.
     *
     * @param field the name of the field; empty if the error concerns the whole request, not null
     * @param detail a human-readable description of the error, not null
     * @return the refusal
     */
    public static Refusal invalidField(String field, String detail) {
        return new Refusal(RefusalReason.INVALID_REQUEST, RunState.NOT_RUN, detail, field, 0);
    }
}
