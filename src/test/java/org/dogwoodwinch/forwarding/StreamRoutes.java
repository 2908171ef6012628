package org.dogwoodwinch.forwarding;

import java.util.List;

/** Routes of streams for tests. */
final class StreamRoutes {

    private StreamRoutes() {}

    static ServiceRoute route(String name, int priority, long objectiveMillis, long timeoutMillis, long gapMillis) {
        return new ServiceRoute(
                name,
                "host",
                "/" + name + "/",
                RouteKind.STREAM,
                false,
                timeoutMillis,
                objectiveMillis,
                gapMillis,
                1,
                priority,
                true,
                List.of(new WeightedService("s", 1)));
    }
}
