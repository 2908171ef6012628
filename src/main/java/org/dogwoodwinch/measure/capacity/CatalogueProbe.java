package org.dogwoodwinch.measure.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.authority.AuthoritySnapshot;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueChange;
import org.dogwoodwinch.catalogue.CatalogueEdit;
import org.dogwoodwinch.catalogue.Limits;
import org.dogwoodwinch.control.Checkpoint;
import org.dogwoodwinch.control.ControlCodec;
import org.dogwoodwinch.control.ControlSettings;
import org.dogwoodwinch.control.ControlSnapshot;
import org.dogwoodwinch.control.ControlStateMachine;
import org.dogwoodwinch.external.LogRecord;
import org.dogwoodwinch.measure.MeasurementTable;

/** The catalogue by owners: memory, size of an edit and of a checkpoint, and time to fold an edit in. */
public final class CatalogueProbe implements CapacityProbe {

    private static final String ROLE = "catalogue";
    private static final int[] OWNERS = {2, 100, 500, TargetSize.OWNERS};
    private static final int EDITS = 300;
    private static final int QUICK_EDITS = 60;
    private static final long RETENTION_MILLIS = 3_600_000;
    private static final int RENEWALS_PER_SECOND = TargetSize.RENEWALS_PER_SECOND;

    private final ControlCodec codec = new ControlCodec();

    @Override
    public CapacityFinding measure(boolean quick) {
        List<Point> points = new ArrayList<>();
        foldMillis(TargetSize.OWNERS, quick ? QUICK_EDITS : EDITS);
        for (int owners : OWNERS) {
            points.add(measure(owners, quick ? QUICK_EDITS : EDITS));
        }
        return new CapacityFinding(List.of(table(points)), rows(points.get(points.size() - 1)));
    }

    private Point measure(int owners, int edits) {
        long memoryBytes = HeapProbe.retainedBytes(() -> SampleCatalogue.of(owners, TargetSize.MODELS));
        return new Point(
                owners, memoryBytes, bytesOf(edit(0, owners)), checkpointBytes(owners), foldMillis(owners, edits));
    }

    private double foldMillis(int owners, int edits) {
        ControlStateMachine fold = new ControlStateMachine(codec, snapshot(owners));
        List<LogRecord> records = new ArrayList<>();
        for (int i = 1; i <= edits; i++) {
            records.add(new LogRecord(i, codec.encode(edit(i - 1, owners))));
        }
        long cpuNanos = CpuClock.nanosOf(() -> records.forEach(fold::apply));
        if (fold.catalogueState().catalogue().revision() != edits) {
            throw new IllegalStateException("an edit was not accepted");
        }
        return cpuNanos / 1e6 / edits;
    }

    private static ControlSnapshot snapshot(int owners) {
        Catalogue catalogue = SampleCatalogue.of(owners, TargetSize.MODELS);
        return new ControlSnapshot(0, List.of(), catalogue, List.of(), AuthoritySnapshot.EMPTY);
    }

    private static CatalogueEdit edit(long base, int owners) {
        int owner = (int) (base % owners);
        CatalogueChange change = new CatalogueChange(
                List.of(SampleCatalogue.owner(owner, new Limits(300, 60_000 + base, 200_000, 8_192))),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of());
        return new CatalogueEdit("edit-" + base + "-0123456789abcdef", "operator", 1_700_000_000_000L, base, change);
    }

    private long checkpointBytes(int owners) {
        String payload = codec.encode(new Checkpoint("checkpoint-0123456789abcdef", snapshot(owners)));
        return payload.getBytes(StandardCharsets.UTF_8).length;
    }

    private long bytesOf(CatalogueEdit edit) {
        return codec.encode(edit).getBytes(StandardCharsets.UTF_8).length;
    }

    private static List<CapacityRow> rows(Point point) {
        double editsPerSecond = TargetSize.EDITS_PER_DAY / TargetSize.SECONDS_PER_DAY;
        double cpuShare = editsPerSecond * point.foldMillis() / 1_000;
        double editBytes = editsPerSecond * point.editBytes();
        double everyMillis = ControlSettings.of("entry", RETENTION_MILLIS).checkpointMillis();
        double checkpointBytes = point.checkpointBytes() * 1_000 / everyMillis;
        int records = ControlSettings.of("entry", RETENTION_MILLIS).checkpointRecords();
        double byRecords = point.checkpointBytes() * RENEWALS_PER_SECOND / records;
        return List.of(
                new CapacityRow(
                        ROLE,
                        "memory of a node",
                        Figures.bytes(point.memoryBytes()) + " at " + point.owners() + " owners",
                        Figures.bytes(point.memoryBytes()),
                        Figures.bytes(TargetSize.CONTROL_MEMORY_BYTES) + " for all control",
                        CapacityVerdict.atMost(point.memoryBytes(), TargetSize.CONTROL_MEMORY_BYTES),
                        "one immutable catalogue; the one before it lives until its last request ends"),
                new CapacityRow(
                        ROLE,
                        "processor time of a node for 2,400 edits a day",
                        Figures.number(point.foldMillis()) + " ms an edit at " + point.owners() + " owners",
                        Figures.percent(cpuShare) + " of a core",
                        Figures.percent(TargetSize.CONTROL_CPU_SHARE) + " for all control",
                        CapacityVerdict.atMost(cpuShare, TargetSize.CONTROL_CPU_SHARE),
                        "each edit is a difference, folded on every node"),
                new CapacityRow(
                        ROLE,
                        "bytes/s that a node reads: edits",
                        Figures.bytes(point.editBytes()) + " an edit of one owner",
                        Figures.bytes(editBytes) + "/s",
                        Figures.bytes(TargetSize.CONTROL_BYTES_PER_SECOND) + "/s for all control",
                        CapacityVerdict.atMost(editBytes, TargetSize.CONTROL_BYTES_PER_SECOND),
                        "an edit travels as a difference"),
                new CapacityRow(
                        ROLE,
                        "bytes/s that a node reads: checkpoints of the catalogue every "
                                + Figures.number(everyMillis / 60_000) + " min",
                        Figures.bytes(point.checkpointBytes()) + " a checkpoint at " + point.owners() + " owners",
                        Figures.bytes(checkpointBytes) + "/s",
                        Figures.bytes(TargetSize.CONTROL_BYTES_PER_SECOND) + "/s for all control",
                        CapacityVerdict.atMost(checkpointBytes, TargetSize.CONTROL_BYTES_PER_SECOND),
                        "checkpoints by time, where few records come"),
                new CapacityRow(
                        ROLE,
                        "bytes/s that a node reads: checkpoints every " + records + " records, at "
                                + RENEWALS_PER_SECOND + " renewals/s",
                        Figures.bytes(point.checkpointBytes()) + " a checkpoint at " + point.owners() + " owners",
                        Figures.bytes(byRecords) + "/s",
                        Figures.bytes(TargetSize.CONTROL_BYTES_PER_SECOND) + "/s for all control",
                        CapacityVerdict.atMost(byRecords, TargetSize.CONTROL_BYTES_PER_SECOND),
                        "checkpoints by records; fewer renewals, or checkpoints on a stream of their own, would cut it"));
    }

    private static MeasurementTable table(List<Point> points) {
        return new MeasurementTable(
                "Catalogue by owners (" + SampleCatalogue.ENTRIES_PER_OWNER + " entries and 2 tokens an owner, "
                        + TargetSize.MODELS + " target groups)",
                List.of("owners", "memory", "edit", "checkpoint", "fold of an edit"),
                points.stream().map(Point::cells).toList());
    }

    private record Point(int owners, double memoryBytes, double editBytes, double checkpointBytes, double foldMillis) {

        List<String> cells() {
            return List.of(
                    Integer.toString(owners),
                    Figures.bytes(memoryBytes),
                    Figures.bytes(editBytes),
                    Figures.bytes(checkpointBytes),
                    Figures.number(foldMillis) + " ms");
        }
    }
}
