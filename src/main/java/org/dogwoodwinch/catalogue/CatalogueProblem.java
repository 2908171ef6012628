package org.dogwoodwinch.catalogue;

import java.util.Objects;

/**
 * One fault of a catalogue that was handed in.
 *
 * @param field where it is, such as {@code entries[2].deadlineMillis}, not null
 * @param detail what is wrong with it, not null
 */
public record CatalogueProblem(String field, String detail) {

    /** Checks the parts. */
    public CatalogueProblem {
        Objects.requireNonNull(field, "field");
        Objects.requireNonNull(detail, "detail");
    }

    @Override
    public String toString() {
        return field + ": " + detail;
    }
}
