package org.dogwoodwinch.measure.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.measure.MeasurementTable;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.request.Operation;
import org.dogwoodwinch.routing.FleetView;
import org.dogwoodwinch.routing.LoadAwareRouter;
import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.routing.RoutingPolicy;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.time.VirtualTimeSource;

/** What a request in flight keeps on a node: the request itself with its prompt, and the router's record of it. */
public final class InFlightProbe implements CapacityProbe {

    private static final String ROLE = "requests in flight";
    private static final String GROUP = "group-0";
    private static final int[] IN_FLIGHT = {100, 1_000, 5_000, 20_000};
    private static final int PROMPT_CHARACTERS = 2_400;
    private static final int PROMPT_TOKENS = 600;
    private static final int TARGETS = 338;
    private static final CatalogueEntry ENTRY =
            SampleCatalogue.of(1, 1).entries().values().iterator().next();

    @Override
    public CapacityFinding measure(boolean _quick) {
        measure(IN_FLIGHT[0]);
        List<Point> points = new ArrayList<>();
        for (int inFlight : IN_FLIGHT) {
            points.add(measure(inFlight));
        }
        LinearFit fit = LinearFit.through(
                points.stream().mapToDouble(Point::inFlight).toArray(),
                points.stream().mapToDouble(Point::memoryBytes).toArray());
        return new CapacityFinding(List.of(table(points)), List.of(row(fit)));
    }

    private static Point measure(int inFlight) {
        VirtualTimeSource time = new VirtualTimeSource(0);
        FleetView fleet = new FleetView(time);
        List<ListedInstance> listed = new ArrayList<>();
        for (int i = 0; i < TARGETS; i++) {
            listed.add(new ListedInstance(
                    "engine-" + i, ListedInstance.Kind.ENGINE, "10.0.0.1", 80, 0, "dc-1", false, GROUP));
        }
        fleet.onInstanceList(listed);
        LoadAwareRouter router = new LoadAwareRouter(
                fleet, RoutingPolicy.STANDARD, time, RandomSource.XO_RO_SHI_RO_128_PP.create(1), "dc-1");
        double memoryBytes = HeapProbe.retainedBytes(() -> send(router, inFlight));
        return new Point(inFlight, memoryBytes);
    }

    private static List<Object> send(LoadAwareRouter router, int inFlight) {
        List<Object> kept = new ArrayList<>();
        kept.add(router);
        for (int i = 0; i < inFlight; i++) {
            CallerRequest request = request(i);
            String prompt = ((Operation.Generate) request.operation()).prompt();
            RouteQuery query =
                    new RouteQuery(GROUP, WorkClass.STANDARD, prompt, PROMPT_TOKENS, 231, 60_000, Set.of(), false);
            Target target = new Target("engine-" + i % TARGETS, "10.0.0.1", 80, "dc-1", GROUP);
            router.onSent("attempt-" + i, target, query);
            kept.add(request);
        }
        return kept;
    }

    private static CallerRequest request(int number) {
        String prompt = number + "x".repeat(PROMPT_CHARACTERS);
        return new CallerRequest(
                "request-" + number,
                ENTRY,
                new Operation.Generate(prompt, PROMPT_TOKENS, 231),
                Optional.empty(),
                number,
                0,
                60_000);
    }

    private static CapacityRow row(LinearFit fit) {
        double bytes = fit.at(TargetSize.inFlightPerNode());
        return new CapacityRow(
                ROLE,
                "memory of a node with " + Figures.number(TargetSize.inFlightPerNode())
                        + " in flight (Little's law at 1.4 s and 53 ms a token)",
                Figures.bytes(fit.slope()) + " a request, " + Figures.bytes(PROMPT_CHARACTERS)
                        + " of it its prompt; without connections and answers",
                Figures.bytes(bytes),
                "no part of the control budget",
                CapacityVerdict.FIGURE,
                "the prompt is kept for a retry until the request ends");
    }

    private static MeasurementTable table(List<Point> points) {
        return new MeasurementTable(
                "Requests in flight (prompt of " + PROMPT_CHARACTERS + " characters, " + TARGETS + " targets)",
                List.of("in flight", "memory", "a request"),
                points.stream().map(Point::cells).toList());
    }

    private record Point(int inFlight, double memoryBytes) {

        List<String> cells() {
            return List.of(
                    Integer.toString(inFlight), Figures.bytes(memoryBytes), Figures.bytes(memoryBytes / inFlight));
        }
    }
}
