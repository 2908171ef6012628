package org.dogwoodwinch.measure.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.measure.MeasurementTable;
import org.dogwoodwinch.routing.FleetView;
import org.dogwoodwinch.routing.LoadAwareRouter;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.routing.RoutingPolicy;
import org.dogwoodwinch.target.LoadReport;
import org.dogwoodwinch.time.VirtualTimeSource;

/** The router by targets of one group: memory, and processor time of a decision and of a load report. */
public final class TargetProbe implements CapacityProbe {

    private static final String ROLE = "routing";
    private static final String GROUP = "reading";
    private static final int[] TARGETS = {11, 110, 440, TargetSize.ENGINES};
    private static final int DECISIONS = 20_000;
    private static final int QUICK_DECISIONS = 4_000;
    private static final int PROMPT_TOKENS = 600;
    private static final int PROMPT_CHARACTERS = 2_400;
    private static final double REPORT_EVERY_SECONDS = 0.5;
    private static final double REPORT_BYTES = 600;

    @Override
    public CapacityFinding measure(boolean quick) {
        int decisions = quick ? QUICK_DECISIONS : DECISIONS;
        measure(TARGETS[0], decisions);
        List<Point> points = new ArrayList<>();
        for (int targets : TARGETS) {
            points.add(measure(targets, decisions));
        }
        return new CapacityFinding(List.of(table(points)), rows(points.get(points.size() - 1)));
    }

    private static Point measure(int targets, int decisions) {
        VirtualTimeSource time = new VirtualTimeSource(1_000_000);
        FleetView[] fleet = new FleetView[1];
        double memoryBytes = HeapProbe.retainedBytes(() -> {
            fleet[0] = fleet(targets, time);
            return fleet[0];
        });
        LoadAwareRouter router = new LoadAwareRouter(
                fleet[0], RoutingPolicy.STANDARD, time, RandomSource.XO_RO_SHI_RO_128_PP.create(1), "dc-1");
        RouteQuery query = new RouteQuery(
                GROUP, WorkClass.URGENT, "x".repeat(PROMPT_CHARACTERS), PROMPT_TOKENS, 40, 2_500, Set.of(), false);
        long decisionNanos =
                CpuClock.nanosOf(() -> IntStream.range(0, decisions).forEach(_i -> router.route(query)));
        long reportNanos = CpuClock.nanosOf(() ->
                IntStream.range(0, decisions).forEach(i -> fleet[0].onLoadReport(name(i % targets), report(time, i))));
        return new Point(targets, memoryBytes, (double) decisionNanos / decisions, (double) reportNanos / decisions);
    }

    private static FleetView fleet(int targets, VirtualTimeSource time) {
        FleetView fleet = new FleetView(time);
        fleet.onInstanceList(IntStream.range(0, targets)
                .mapToObj(i -> new ListedInstance(
                        name(i),
                        ListedInstance.Kind.ENGINE,
                        "10.0.0.1",
                        80,
                        0,
                        "dc-" + i % TargetSize.DATA_CENTRES,
                        false,
                        GROUP))
                .toList());
        IntStream.range(0, targets).forEach(i -> fleet.onLoadReport(name(i), report(time, i)));
        return fleet;
    }

    private static LoadReport report(VirtualTimeSource time, int number) {
        return new LoadReport(time.wallMillis(), number * 37L % 4_000, number * 53L % 9_000, 8, 0, 0, 1, 8_000, 1_500);
    }

    private static String name(int target) {
        return "engine-" + target;
    }

    private static List<CapacityRow> rows(Point largest) {
        double decisionShare = TargetSize.requestsPerSecondPerNode() * largest.decisionNanos() / 1e9;
        double reportsPerSecond = TargetSize.ENGINES / REPORT_EVERY_SECONDS;
        double reportShare = reportsPerSecond * largest.reportNanos() / 1e9;
        double reportBytes = reportsPerSecond * REPORT_BYTES;
        String where = " at " + largest.targets() + " targets";
        String mechanism = "today each node asks each engine itself; engines of its own data centre (338) read by a few"
                + " nodes that tell the others a summary would carry it";
        return List.of(
                new CapacityRow(
                        ROLE,
                        "memory of a node",
                        Figures.bytes(largest.memoryBytes()) + where,
                        Figures.bytes(largest.memoryBytes()),
                        Figures.bytes(TargetSize.CONTROL_MEMORY_BYTES) + " for all control",
                        CapacityVerdict.atMost(largest.memoryBytes(), TargetSize.CONTROL_MEMORY_BYTES),
                        "one state a target, sampled candidates"),
                new CapacityRow(
                        ROLE,
                        "processor time of decisions at " + Figures.number(TargetSize.requestsPerSecondPerNode())
                                + " requests/s a node",
                        Figures.number(largest.decisionNanos()) + " ns a decision" + where,
                        Figures.percent(decisionShare) + " of a core",
                        Figures.percent(TargetSize.CONTROL_CPU_SHARE) + " for all control",
                        CapacityVerdict.atMost(decisionShare, TargetSize.CONTROL_CPU_SHARE),
                        "a few sampled candidates a decision"),
                new CapacityRow(
                        ROLE,
                        "processor time to take in load reports, without reading them from the network",
                        Figures.number(largest.reportNanos()) + " ns a report" + where,
                        Figures.percent(reportShare) + " of a core at " + Figures.number(reportsPerSecond)
                                + " reports/s",
                        Figures.percent(TargetSize.CONTROL_CPU_SHARE) + " for all control",
                        CapacityVerdict.atMost(reportShare, TargetSize.CONTROL_CPU_SHARE),
                        mechanism),
                new CapacityRow(
                        ROLE,
                        "bytes/s of load reports, each node from each engine twice a second",
                        "by division: " + Figures.bytes(REPORT_BYTES) + " a report with its HTTP heads (assumed)",
                        Figures.bytes(reportBytes) + "/s",
                        Figures.bytes(TargetSize.CONTROL_BYTES_PER_SECOND) + "/s for all control",
                        CapacityVerdict.atMost(reportBytes, TargetSize.CONTROL_BYTES_PER_SECOND),
                        mechanism));
    }

    private static MeasurementTable table(List<Point> points) {
        return new MeasurementTable(
                "Router by targets of one group (prompt of " + PROMPT_TOKENS + " tokens)",
                List.of("targets", "memory", "a decision", "a load report"),
                points.stream().map(Point::cells).toList());
    }

    private record Point(int targets, double memoryBytes, double decisionNanos, double reportNanos) {

        List<String> cells() {
            return List.of(
                    Integer.toString(targets),
                    Figures.bytes(memoryBytes),
                    Figures.number(decisionNanos) + " ns",
                    Figures.number(reportNanos) + " ns");
        }
    }
}
