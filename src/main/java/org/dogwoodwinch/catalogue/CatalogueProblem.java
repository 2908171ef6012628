package org.dogwoodwinch.catalogue;

import java.util.Objects;

/**
 * A problem found in a submitted catalogue.
 *
 * @param field the path of the field, such as {@code entries[2].deadlineMillis}, not null
 * @param detail the description of the problem, not null
 */
public record CatalogueProblem(String field, String detail) {

    /** Validates the components. */
    public CatalogueProblem {
        Objects.requireNonNull(field, "field");
        Objects.requireNonNull(detail, "detail");
    }

    @Override
    public String toString() {
        return field + ": " + detail;
    }
}
