package org.dogwoodwinch.catalogue;

import java.util.function.Function;

/** The outcome of an edit. It depends on log order only, so it is the same on every instance. */
public sealed interface EditOutcome {

    /**
     * The edit created a new revision.
     *
     * @param revision the revision, which is the edit's offset
     */
    record Accepted(long revision) implements EditOutcome {}

    /**
     * The edit is not based on the current revision, because another edit was accepted before it.
     *
     * @param winnerId the id of the edit that created the current revision; empty if it has left the history
     * @param winnerAuthor the author of that edit; empty if it has left the history
     * @param winnerRevision the revision that was current when this edit was applied
     */
    record Conflict(String winnerId, String winnerAuthor, long winnerRevision) implements EditOutcome {}

    /**
     * The edit would have created an invalid catalogue. Instances validate an edit before they append it, so an invalid
     * one was written to the log by other means.
     *
     * @param detail the first problem
     */
    record Invalid(String detail) implements EditOutcome {}

    /**
     * Calls the function for the type of this outcome.
     *
     * @param accepted the function for {@link Accepted}
     * @param conflict the function for {@link Conflict}
     * @param invalid the function for {@link Invalid}
     * @param <T> the return type of the functions
     * @return the return value of the function
     */
    default <T> T match(Function<Accepted, T> accepted, Function<Conflict, T> conflict, Function<Invalid, T> invalid) {
        if (this instanceof Accepted value) {
            return accepted.apply(value);
        }
        if (this instanceof Conflict value) {
            return conflict.apply(value);
        }
        return invalid.apply((Invalid) this);
    }
}
