package org.dogwoodwinch.measure.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.authority.AuthorityRecord;
import org.dogwoodwinch.control.ControlCodec;
import org.dogwoodwinch.control.ControlNode;
import org.dogwoodwinch.external.AppendResult;
import org.dogwoodwinch.measure.MeasurementTable;

/** What a start reads of the control stream: one of 720 a day, and all nodes of a data centre that returns at once. */
public final class StartProbe implements CapacityProbe {

    private static final String ROLE = "start of a node";
    private static final String STREAM = "control";
    private static final int[] RECORDS = {5_000, 20_000, 80_000};
    private static final int[] QUICK_RECORDS = {5_000, 20_000};
    private static final long STEP_MILLIS = 10;
    private static final int RETENTION_SECONDS = 3_600;
    private static final int RENEWALS_PER_SECOND = TargetSize.RENEWALS_PER_SECOND;
    private static final double CATCH_UP_SECONDS = 60;

    @Override
    public CapacityFinding measure(boolean quick) {
        int[] sizes = quick ? QUICK_RECORDS : RECORDS;
        start(sizes[0]);
        List<Point> points = new ArrayList<>();
        for (int records : sizes) {
            points.add(start(records));
        }
        return new CapacityFinding(List.of(table(points)), rows(points));
    }

    private static Point start(int records) {
        ControlFleet fleet = new ControlFleet(TargetSize.NODES, 1, 1);
        ControlCodec codec = new ControlCodec();
        List<CompletionStage<AppendResult>> appends = new ArrayList<>();
        for (int i = 0; i < records; i++) {
            String holder = "entry-" + i % TargetSize.NODES;
            appends.add(fleet.log()
                    .append(
                            STREAM,
                            codec.encode(new AuthorityRecord.LeaseRenewal(
                                    holder + "-0123456789abcdef", holder + "-0123456789abcdef"))));
        }
        fleet.log().reset();
        ControlNode node = fleet.startNode(0);
        long[] virtualMillis = new long[1];
        long cpuNanos = CpuClock.nanosOf(() -> virtualMillis[0] = awaitCaughtUp(fleet, node));
        return new Point(appends.size(), fleet.log().readCount(), fleet.log().readBytes(), cpuNanos / 1e9);
    }

    private static long awaitCaughtUp(ControlFleet fleet, ControlNode node) {
        long millis = 0;
        while (!node.status().caughtUp()) {
            fleet.time().advanceMillis(STEP_MILLIS);
            millis += STEP_MILLIS;
        }
        return millis;
    }

    private static List<CapacityRow> rows(List<Point> points) {
        double[] sizes = points.stream().mapToDouble(Point::records).toArray();
        double retained = (double) RETENTION_SECONDS * RENEWALS_PER_SECOND;
        double bytes = LinearFit.through(
                        sizes, points.stream().mapToDouble(Point::readBytes).toArray())
                .at(retained);
        double cpuSeconds = LinearFit.through(
                        sizes, points.stream().mapToDouble(Point::cpuSeconds).toArray())
                .at(retained);
        double mean = bytes * TargetSize.STARTS_PER_DAY / TargetSize.SECONDS_PER_DAY;
        double atOnce = bytes * TargetSize.nodesPerDataCentre();
        String slope = Figures.bytes(points.get(0).readBytes() / points.get(0).records()) + " a record";
        String mechanism = "today a start reads all that is retained; a stream of checkpoints alone, read first, would"
                + " bound it to one checkpoint and its tail";
        return List.of(
                new CapacityRow(
                        ROLE,
                        "bytes of an hour's records with " + RENEWALS_PER_SECOND + " renewals/s",
                        slope,
                        Figures.bytes(bytes),
                        Figures.bytes(CATCH_UP_SECONDS * TargetSize.CONTROL_BYTES_PER_SECOND)
                                + ": a minute of the node's budget",
                        CapacityVerdict.atMost(bytes, CATCH_UP_SECONDS * TargetSize.CONTROL_BYTES_PER_SECOND),
                        mechanism),
                new CapacityRow(
                        ROLE,
                        "processor time until it has caught up",
                        Figures.number(points.get(points.size() - 1).cpuSeconds()) + " s for "
                                + points.get(points.size() - 1).records() + " records",
                        Figures.number(cpuSeconds) + " s",
                        TargetSize.EDIT_SECONDS + " s, the bound of an edit",
                        CapacityVerdict.atMost(cpuSeconds, TargetSize.EDIT_SECONDS),
                        mechanism),
                new CapacityRow(
                        ROLE,
                        "bytes/s that the log sends to 720 starts a day",
                        slope,
                        Figures.bytes(mean) + "/s",
                        "none stated",
                        CapacityVerdict.FIGURE,
                        mechanism),
                new CapacityRow(
                        ROLE,
                        "bytes that the log sends when the " + TargetSize.nodesPerDataCentre()
                                + " nodes of a data centre return at once",
                        slope,
                        Figures.bytes(atOnce),
                        "none stated",
                        CapacityVerdict.FIGURE,
                        mechanism));
    }

    private static MeasurementTable table(List<Point> points) {
        return new MeasurementTable(
                "Start of a node by records retained on the control stream",
                List.of("records", "reads", "read", "processor time"),
                points.stream().map(Point::cells).toList());
    }

    private record Point(int records, long readCount, double readBytes, double cpuSeconds) {

        List<String> cells() {
            return List.of(
                    Integer.toString(records),
                    Long.toString(readCount),
                    Figures.bytes(readBytes),
                    Figures.number(cpuSeconds) + " s");
        }
    }
}
