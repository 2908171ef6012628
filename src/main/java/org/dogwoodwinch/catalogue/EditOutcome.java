package org.dogwoodwinch.catalogue;

import java.util.function.Function;

/** What became of an edit, the same on every instance because it depends on log order alone. */
public sealed interface EditOutcome {

    /**
     * The edit made a new revision.
     *
     * @param revision the revision, which is the edit's offset
     */
    record Accepted(long revision) implements EditOutcome {}

    /**
     * Another edit of the same base came first.
     *
     * @param winnerId the edit that made the revision in force when this one was read, empty where it is forgotten
     * @param winnerAuthor who made that edit, empty where it is forgotten
     * @param winnerRevision the revision that was in force
     */
    record Conflict(String winnerId, String winnerAuthor, long winnerRevision) implements EditOutcome {}

    /**
     * The edit would have made a catalogue that contradicts itself; an instance checks before it appends, so this one
     * was put on the log by other means.
     *
     * @param detail the first fault
     */
    record Invalid(String detail) implements EditOutcome {}

    /**
     * Calls the function of this outcome's kind.
     *
     * @param accepted for {@link Accepted}
     * @param conflict for {@link Conflict}
     * @param invalid for {@link Invalid}
     * @param <T> what the functions return
     * @return what the function returned
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
