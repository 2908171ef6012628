package org.dogwoodwinch.measure;

import java.util.List;
import java.util.Objects;

/**
 * A table of figures.
 *
 * @param title what it shows, not null
 * @param columns the column heads with their units, not null
 * @param rows the rows, each as long as the heads, not null
 */
public record MeasurementTable(String title, List<String> columns, List<List<String>> rows) {

    /**
     * Checks and copies the parts.
     *
     * @throws IllegalArgumentException if a row is not as long as the heads
     */
    public MeasurementTable {
        Objects.requireNonNull(title, "title");
        columns = List.copyOf(columns);
        rows = rows.stream().map(List::copyOf).toList();
        for (List<String> row : rows) {
            if (row.size() != columns.size()) {
                throw new IllegalArgumentException("row " + row + " does not fit columns " + columns);
            }
        }
    }
}
