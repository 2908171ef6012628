package org.dogwoodwinch.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class StreamStallCostTest {

    private static final ServiceRoute FAST = StreamRoutes.route("fast", 1, 300, 2_300, 100);
    private static final ServiceRoute SLOW = StreamRoutes.route("slow", 2, 1_000, 7_000, 400);
    private static final ServiceRoute ANY_GAP = StreamRoutes.route("any", 0, 300, 90_000, 0);

    private static StreamStallCost cost(ServiceRoute... routes) {
        List<ServiceRoute> configured = List.of(routes);
        return new StreamStallCost(_service -> configured);
    }

    @Test
    void costIsHalfOfTimeBetweenObjectiveAndTimeout() {
        assertEquals(1_000, cost(FAST).millisPerStream("s", 51));
    }

    @Test
    void streamsWithoutAcceptedGapCostNothing() {
        assertEquals(0, cost(ANY_GAP).millisPerStream("s", 5_000));
        assertEquals(0, cost().millisPerStream("s", 5_000));
        assertEquals(500, cost(FAST, ANY_GAP).millisPerStream("s", 5_000));
    }

    /** Failure: the streams of one route accept a long prefill, and those of the other one are late all the same. */
    @Test
    void onlyStreamsWhoseGapIsExceededCost() {
        assertEquals(0, cost(FAST, SLOW).millisPerStream("s", 50));
        assertEquals(1_500, cost(FAST, SLOW).millisPerStream("s", 51));
        assertEquals(3_000, cost(FAST, SLOW).millisPerStream("s", 201));
    }

    /** Failure: urgent streams have short time-outs and would be stalled rather than less urgent ones. */
    @Test
    void urgentStreamIsNeverCheaperThanLessUrgentOne() {
        ServiceRoute equallyUrgent = StreamRoutes.route("other", 2, 300, 2_300, 100);

        assertEquals(500, cost(equallyUrgent, SLOW).millisPerStream("s", 51));
        assertEquals(1_500, cost(FAST, SLOW).millisPerStream("s", 51));
    }

    /** Failure: a service whose streams do not stall lets its prompts wait for nothing. */
    @Test
    void costFollowsTheObservedShareOfLateStreams() {
        StreamStallCost cost = cost(FAST);
        for (int i = 0; i < 40; i++) {
            cost.observe("s", i % 4 == 0);
        }

        assertEquals(0.25, cost.stalledRatio("s"), 0.1);
        assertEquals(1_000 * cost.stalledRatio("s"), cost.millisPerStream("s", 51));
        assertEquals(1, cost.stalledRatio("other"));
    }

    @Test
    void newRoutesChangeTheCost() {
        List<List<ServiceRoute>> configured = new ArrayList<>(List.of(List.of(FAST)));
        StreamStallCost cost = new StreamStallCost(_service -> configured.get(configured.size() - 1));
        assertEquals(1_000, cost.millisPerStream("s", 51));

        configured.add(List.of(SLOW));

        assertEquals(0, cost.millisPerStream("s", 51));
    }
}
