package org.dogwoodwinch.measure;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.measure.capacity.CapacityFinding;
import org.dogwoodwinch.measure.capacity.CapacityProbe;
import org.dogwoodwinch.measure.capacity.CapacityRow;
import org.dogwoodwinch.measure.capacity.CapacityVerdict;

/** The books of the target size: slopes measured with the real code, what they come to, and whether it is enough. */
public final class CapacityMeasurement implements Measurement {

    private final List<CapacityProbe> probes;

    /**
     * Creates the measurement.
     *
     * @param probes what to measure, in the order of the table, not null
     */
    public CapacityMeasurement(List<CapacityProbe> probes) {
        this.probes = List.copyOf(probes);
    }

    @Override
    public String name() {
        return "capacity";
    }

    @Override
    public String description() {
        return "slopes of state, messages, processor time and memory, and what they come to at the target size";
    }

    @Override
    public MeasurementReport run(boolean quick) {
        List<MeasurementTable> tables = new ArrayList<>();
        List<CapacityRow> rows = new ArrayList<>();
        for (CapacityProbe probe : probes) {
            CapacityFinding finding = probe.measure(quick);
            tables.addAll(finding.points());
            rows.addAll(finding.rows());
        }
        tables.add(new MeasurementTable(
                "At the target size",
                CapacityRow.COLUMNS,
                rows.stream().map(CapacityRow::cells).toList()));
        return new MeasurementReport(tables, bounds(rows), headline(rows));
    }

    private static List<MeasurementBound> bounds(List<CapacityRow> rows) {
        return rows.stream()
                .filter(row -> row.verdict() == CapacityVerdict.REACHED || row.verdict() == CapacityVerdict.NOT_REACHED)
                .map(row -> new MeasurementBound(
                        row.role() + ": " + row.quantity() + " <= " + row.budget(),
                        row.projected(),
                        row.verdict() == CapacityVerdict.REACHED))
                .toList();
    }

    private static String headline(List<CapacityRow> rows) {
        return "capacity: " + count(rows, CapacityVerdict.REACHED) + " figures within their budget at the target size, "
                + count(rows, CapacityVerdict.NOT_REACHED) + " beyond it, "
                + count(rows, CapacityVerdict.NOT_MEASURED) + " not measured";
    }

    private static long count(List<CapacityRow> rows, CapacityVerdict verdict) {
        return rows.stream().filter(row -> row.verdict() == verdict).count();
    }
}
