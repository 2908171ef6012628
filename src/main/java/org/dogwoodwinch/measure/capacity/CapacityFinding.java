package org.dogwoodwinch.measure.capacity;

import java.util.List;
import org.dogwoodwinch.measure.MeasurementTable;

/**
 * What one probe found.
 *
 * @param points the measured points, one or more tables; empty where all follows by division, not null
 * @param rows the lines of the table of capacity, not null
 */
public record CapacityFinding(List<MeasurementTable> points, List<CapacityRow> rows) {

    /** Copies the lists. */
    public CapacityFinding {
        points = List.copyOf(points);
        rows = List.copyOf(rows);
    }
}
