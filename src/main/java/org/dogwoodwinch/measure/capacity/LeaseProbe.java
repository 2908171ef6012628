package org.dogwoodwinch.measure.capacity;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.measure.MeasurementTable;

/** Lease renewals of all engine groups at rest: appends, bytes of the control stream and processor time of a node. */
public final class LeaseProbe implements CapacityProbe {

    private static final String ROLE = "leases at rest";
    private static final long SETTLE_MILLIS = 6_000;
    private static final int MEASURED_SECONDS = 8;
    private static final int QUICK_SECONDS = 4;
    private static final int ENGINES_PER_GROUP = 10;
    private static final int GROUPS_NODES = 6;
    private static final int[] NODES = {6, 24, 96, 240};
    private static final int[] QUICK_NODES = {6, 24, 96};
    private static final int[] GROUPS = {2, 44, TargetSize.GROUPS};

    @Override
    public CapacityFinding measure(boolean quick) {
        List<Point> points = new ArrayList<>();
        for (int groups : GROUPS) {
            points.add(measure(GROUPS_NODES, groups, quick));
        }
        for (int nodes : quick ? QUICK_NODES : NODES) {
            if (nodes != GROUPS_NODES) {
                points.add(measure(nodes, TargetSize.GROUPS, quick));
            }
        }
        Point largest = points.get(points.size() - 1);
        return new CapacityFinding(List.of(table(points)), rows(largest));
    }

    private static Point measure(int nodes, int groups, boolean quick) {
        ControlFleet fleet = new ControlFleet(nodes, groups, groups * ENGINES_PER_GROUP);
        fleet.startAll();
        fleet.time().advanceMillis(SETTLE_MILLIS);
        fleet.log().reset();
        int seconds = quick ? QUICK_SECONDS : MEASURED_SECONDS;
        long cpuNanos = CpuClock.nanosOf(() -> fleet.time().advanceMillis(seconds * 1_000L));
        double perSecond = seconds;
        return new Point(
                nodes,
                groups,
                fleet.log().appendCount() / perSecond,
                fleet.log().appendedBytes() / perSecond,
                fleet.log().readBytes() / perSecond / nodes,
                cpuNanos / perSecond / nodes / 1e9);
    }

    private static List<CapacityRow> rows(Point largest) {
        String where = "measured at " + largest.nodes() + " nodes, " + largest.groups() + " groups";
        // One instance of each data centre holds all its groups, so more nodes do not make more holders.
        double appends = largest.appendsPerSecond();
        double readBytes = largest.readBytesPerNode();
        String mechanism = "the groups of a data centre fall to one holder, and a renewal names no group";
        return List.of(
                new CapacityRow(
                        ROLE,
                        "log appends/s, whole system",
                        Figures.number(largest.appendsPerSecond()) + "/s " + where,
                        Figures.number(appends) + "/s",
                        TargetSize.LOG_APPENDS_PER_SECOND / 4 + "/s: a quarter of what the log takes",
                        CapacityVerdict.atMost(appends, TargetSize.LOG_APPENDS_PER_SECOND / 4.0),
                        mechanism),
                new CapacityRow(
                        ROLE,
                        "bytes/s that a node reads of the control stream",
                        Figures.bytes(largest.readBytesPerNode()) + "/s " + where,
                        Figures.bytes(readBytes) + "/s",
                        Figures.bytes(TargetSize.CONTROL_BYTES_PER_SECOND) + "/s for all control",
                        CapacityVerdict.atMost(readBytes, TargetSize.CONTROL_BYTES_PER_SECOND),
                        mechanism),
                new CapacityRow(
                        ROLE,
                        "processor time of a node",
                        Figures.percent(largest.cpuShare()) + " of a core " + where,
                        Figures.percent(largest.cpuShare()),
                        Figures.percent(TargetSize.CONTROL_CPU_SHARE) + " of a core for all control",
                        CapacityVerdict.atMost(largest.cpuShare(), TargetSize.CONTROL_CPU_SHARE),
                        "the fold of each renewal, and a look at every engine five times a second"));
    }

    private static MeasurementTable table(List<Point> points) {
        return new MeasurementTable(
                "Leases at rest: renewals by nodes and groups (" + ENGINES_PER_GROUP
                        + " engines a group, virtual time)",
                List.of("nodes", "groups", "appends/s", "appended", "read by a node", "core of a node"),
                points.stream().map(Point::cells).toList());
    }

    private record Point(
            int nodes,
            int groups,
            double appendsPerSecond,
            double appendedBytes,
            double readBytesPerNode,
            double cpuShare) {

        List<String> cells() {
            return List.of(
                    Integer.toString(nodes),
                    Integer.toString(groups),
                    Figures.number(appendsPerSecond),
                    Figures.bytes(appendedBytes) + "/s",
                    Figures.bytes(readBytesPerNode) + "/s",
                    Figures.percent(cpuShare));
        }
    }
}
