package org.dogwoodwinch.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.forwarding.CallerLimits;
import org.dogwoodwinch.forwarding.RouteKind;
import org.dogwoodwinch.forwarding.RouteTable;
import org.dogwoodwinch.forwarding.ServiceRoute;
import org.dogwoodwinch.forwarding.WeightedService;

/** The route of the streams of a {@link SoakDay}, and the configurations that move its weights between services. */
final class SoakRoute {

    private static final String PATH = "/a/";
    private static final double[] SHARES = {0, 0.1, 0.5, 0.9, 1};

    final List<String> services;
    private final SoakDay day;
    private final List<Configuration> configurations = new ArrayList<>();

    SoakRoute(SoakDay day, List<String> services) {
        this.day = day;
        this.services = services;
        configure(0.9);
    }

    /** Moves the weights, if there are two services. */
    void move() {
        if (services.size() > 1) {
            configure(SHARES[day.random.nextInt(SHARES.length)]);
        }
    }

    private void configure(double firstShare) {
        List<WeightedService> weights = services.size() == 1
                ? List.of(new WeightedService(services.get(0), 1))
                : List.of(
                        new WeightedService(services.get(0), firstShare),
                        new WeightedService(services.get(1), 1 - firstShare));
        ServiceRoute route =
                new ServiceRoute("a", "host", PATH, RouteKind.STREAM, true, 10_000, 0, 0, 2, 1, false, weights);
        configurations.add(new Configuration(
                day.nowMillis(),
                new RouteTable(
                        configurations.size() + 1, List.of(route), List.of(), CallerLimits.DEFAULT, Optional.empty())));
    }

    /** Returns the first configuration after a version that was written by the given time. */
    Optional<RouteTable> next(long version, long writtenMillis) {
        return configurations.stream()
                .filter(each -> each.table.version() > version && each.writtenMillis <= writtenMillis)
                .map(Configuration::table)
                .findFirst();
    }

    /** Returns the configuration in force at the given time, at first the first one. */
    RouteTable at(long millis) {
        RouteTable inForce = configurations.get(0).table;
        for (Optional<RouteTable> next = next(inForce.version(), millis);
                next.isPresent();
                next = next(inForce.version(), millis)) {
            inForce = next.get();
        }
        return inForce;
    }

    static ServiceRoute routeOf(RouteTable table) {
        return table.findRoute("host", PATH).orElseThrow();
    }

    private record Configuration(long writtenMillis, RouteTable table) {}
}
