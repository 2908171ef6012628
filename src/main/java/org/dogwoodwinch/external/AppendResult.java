package org.dogwoodwinch.external;

import java.util.function.Function;

/** What is known of an append to the log. */
public sealed interface AppendResult {

    /**
     * The record is on the log.
     *
     * @param offset its offset
     */
    record Appended(long offset) implements AppendResult {}

    /**
     * The record was not taken: the service said so before it wrote.
     *
     * @param detail why
     * @param retryAfterMillis when another try makes sense, in milliseconds
     */
    record Refused(String detail, long retryAfterMillis) implements AppendResult {}

    /**
     * The answer was lost: the record may be on the log. Only reading the stream decides.
     *
     * @param detail what went wrong
     */
    record Unknown(String detail) implements AppendResult {}

    /**
     * Calls the function of this result's kind.
     *
     * @param appended for {@link Appended}
     * @param refused for {@link Refused}
     * @param unknown for {@link Unknown}
     * @param <T> what the functions return
     * @return what the function returned
     */
    default <T> T match(Function<Appended, T> appended, Function<Refused, T> refused, Function<Unknown, T> unknown) {
        if (this instanceof Appended value) {
            return appended.apply(value);
        }
        if (this instanceof Refused value) {
            return refused.apply(value);
        }
        return unknown.apply((Unknown) this);
    }
}
