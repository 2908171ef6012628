package org.dogwoodwinch.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.routing.FleetView;
import org.dogwoodwinch.routing.LoadAwareRouter;
import org.dogwoodwinch.routing.Route;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.routing.RoutingPolicy;
import org.dogwoodwinch.target.LoadReport;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** One routing decision in a group of many targets, each with a report; the prompt has 600 tokens. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class RoutingBenchmark {

    private static final String GROUP = "reading";
    private static final int PROMPT_TOKENS = 600;
    private static final int PROMPT_CHARS = 2_400;

    /** How many targets the group has. */
    @Param({"11", "440", "4400"})
    public int targets;

    private LoadAwareRouter router;
    private RouteQuery query;

    /** Fills the fleet's view. */
    @Setup
    public void fill() {
        VirtualTimeSource time = new VirtualTimeSource(1_000_000);
        FleetView fleet = new FleetView(time);
        List<ListedInstance> listed = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            listed.add(new ListedInstance(
                    "engine-" + i, ListedInstance.Kind.ENGINE, "10.0.0.1", 80, 0, "dc-" + i % 13, false, GROUP));
        }
        fleet.onInstanceList(listed);
        for (int i = 0; i < targets; i++) {
            fleet.onLoadReport(
                    "engine-" + i,
                    new LoadReport(time.wallMillis(), i * 37L % 4_000, i * 53L % 9_000, 8, 0, 0, 1, 8_000, 1_500));
        }
        router = new LoadAwareRouter(
                fleet, RoutingPolicy.STANDARD, time, RandomSource.XO_RO_SHI_RO_128_PP.create(1), "dc-1");
        query = new RouteQuery(
                GROUP, WorkClass.URGENT, "x".repeat(PROMPT_CHARS), PROMPT_TOKENS, 40, 2_500, Set.of(), false);
    }

    /**
     * Decides once.
     *
     * @return the choice
     */
    @Benchmark
    public Route route() {
        return router.route(query);
    }
}
