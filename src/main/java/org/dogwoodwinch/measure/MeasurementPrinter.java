package org.dogwoodwinch.measure;

import java.util.List;

/** Prints reports as aligned text. */
public final class MeasurementPrinter {

    private MeasurementPrinter() {}

    /**
     * Formats a report, the headline last.
     *
     * @param report the report, not null
     * @return the text, without a line end at the end
     */
    public static String toText(MeasurementReport report) {
        StringBuilder text = new StringBuilder();
        report.tables().forEach(table -> appendTable(text, table));
        for (MeasurementBound bound : report.bounds()) {
            text.append(bound.held() ? "held    " : "MISSED  ");
            text.append(bound.statement()).append(": ").append(bound.measured()).append('\n');
        }
        return text.append(report.headline()).toString();
    }

    private static void appendTable(StringBuilder text, MeasurementTable table) {
        int[] widths = new int[table.columns().size()];
        widen(widths, table.columns());
        table.rows().forEach(row -> widen(widths, row));
        text.append(table.title()).append('\n');
        appendRow(text, widths, table.columns());
        table.rows().forEach(row -> appendRow(text, widths, row));
        text.append('\n');
    }

    private static void widen(int[] widths, List<String> row) {
        for (int i = 0; i < widths.length; i++) {
            widths[i] = Math.max(widths[i], row.get(i).length());
        }
    }

    private static void appendRow(StringBuilder text, int[] widths, List<String> row) {
        for (int i = 0; i < widths.length; i++) {
            String cell = row.get(i);
            text.append("  ").append(cell).append(" ".repeat(widths[i] - cell.length()));
        }
        text.append('\n');
    }
}
