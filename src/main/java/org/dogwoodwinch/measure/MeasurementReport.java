package org.dogwoodwinch.measure;

import java.util.List;
import java.util.Objects;

/**
 * What a measurement found.
 *
 * @param tables the figures, not null
 * @param bounds the stated bounds, not null
 * @param headline the headline figure in one line, not null
 */
public record MeasurementReport(List<MeasurementTable> tables, List<MeasurementBound> bounds, String headline) {

    /** Checks and copies the parts. */
    public MeasurementReport {
        tables = List.copyOf(tables);
        bounds = List.copyOf(bounds);
        Objects.requireNonNull(headline, "headline");
    }

    /**
     * Says whether every bound held.
     *
     * @return true also where there is no bound
     */
    public boolean allBoundsHeld() {
        return bounds.stream().allMatch(MeasurementBound::held);
    }
}
