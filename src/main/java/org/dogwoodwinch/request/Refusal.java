package org.dogwoodwinch.request;

import java.util.Objects;

/**
 * A refusal, as the caller gets it.
 *
 * @param reason why, not null
 * @param run whether the request ran, not null
 * @param detail a sentence for people, not null
 * @param field the field of the request that is at fault; empty where none is, not null
 * @param retryAfterMillis when to come back, in milliseconds; zero where coming back does not help
 */
public record Refusal(RefusalReason reason, RunState run, String detail, String field, long retryAfterMillis) {

    /** Checks the parts. */
    public Refusal {
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(run, "run");
        Objects.requireNonNull(detail, "detail");
        Objects.requireNonNull(field, "field");
    }

    /**
     * Makes a refusal of a request that did not run.
     *
     * @param reason why, not null
     * @param detail a sentence for people, not null
     * @param retryAfterMillis when to come back, in milliseconds; zero where coming back does not help
     * @return the refusal
     */
    public static Refusal notRun(RefusalReason reason, String detail, long retryAfterMillis) {
        return new Refusal(reason, RunState.NOT_RUN, detail, "", retryAfterMillis);
    }

    /**
     * Makes a refusal of a request that may have run.
     *
     * @param reason why, not null
     * @param detail a sentence for people, not null
     * @return the refusal
     */
    public static Refusal mayHaveRun(RefusalReason reason, String detail) {
        return new Refusal(reason, RunState.MAY_HAVE_RUN, detail, "", 0);
    }

    /**
     * Makes a refusal that names the field at fault.
     *
     * @param field the field, not null
     * @param detail what is wrong with it, not null
     * @return the refusal
     */
    public static Refusal invalidField(String field, String detail) {
        return new Refusal(RefusalReason.INVALID_REQUEST, RunState.NOT_RUN, detail, field, 0);
    }
}
