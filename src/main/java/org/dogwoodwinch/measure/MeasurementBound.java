package org.dogwoodwinch.measure;

import java.util.Objects;

/**
 * A stated bound and whether the run kept it.
 *
 * @param statement the bound, such as {@code "double runs = 0"}, not null
 * @param measured what was measured, with its unit, not null
 * @param held whether the bound held
 */
public record MeasurementBound(String statement, String measured, boolean held) {

    /** Checks the parts. */
    public MeasurementBound {
        Objects.requireNonNull(statement, "statement");
        Objects.requireNonNull(measured, "measured");
    }
}
