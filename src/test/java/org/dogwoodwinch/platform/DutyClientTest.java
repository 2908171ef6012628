package org.dogwoodwinch.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.dogwoodwinch.net.Addresses;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.relay.ConnectionPolicy;
import org.dogwoodwinch.relay.ControlClient;
import org.dogwoodwinch.scaling.EngineKind;
import org.dogwoodwinch.scaling.EnginePool;
import org.dogwoodwinch.scaling.ScaleOrder;
import org.dogwoodwinch.scaling.ScaleOutcome;
import org.dogwoodwinch.standin.platform.StandInListener;
import org.dogwoodwinch.standin.platform.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class DutyClientTest {

    private final Transport loop = Transport.start(1);
    private final EventLoopTime time = new EventLoopTime(loop.eventLoopGroup().next());
    private final StoreStandIn platform = new StoreStandIn(time);
    private final AtomicBoolean cutsConnections = new AtomicBoolean();
    private StandInListener listener;
    private DutyClient client;

    @BeforeEach
    void start() throws Exception {
        listener = StandInListener.bind(loop, (request, answer) -> {
            if (cutsConnections.get()) {
                answer.reset();
            } else {
                platform.handle(request, answer);
            }
        });
        client = new DutyClient(
                new ControlClient(loop, loop.eventLoopGroup().next(), time, new ConnectionPolicy(1_000, 1_000, 1_000)),
                Addresses.parse(listener.address()),
                10_000);
    }

    @AfterEach
    void stop() {
        listener.close();
        loop.eventLoopGroup().shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private ScaleOutcome order(EngineKind kind, long token) throws Exception {
        return client.send("n1", token, new ScaleOrder("huvo11a", new EnginePool("mdp-a", kind), 6))
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
    }

    @Test
    void ordersForBothKindsAreSentAsThePlatformExpects() throws Exception {
        assertEquals(ScaleOutcome.ACCEPTED, order(EngineKind.ON_DEMAND, 4));
        assertEquals(ScaleOutcome.ACCEPTED, order(EngineKind.SPOT, 4));
        assertEquals(ScaleOutcome.CONFLICT, order(EngineKind.SPOT, 3));

        String onDemand = "n1 {\"service\":\"huvo11a\",\"zone\":\"mdp-a\",\"desired\":6}";
        assertEquals(List.of(onDemand, onDemand.replace("}", ",\"spot\":true}")), platform.scaleOrders());
    }

    /** Failure: an order that may have been executed counts as one that never will be. */
    @Test
    void statusTellsWhetherOrderWasExecuted() throws Exception {
        Map<Integer, ScaleOutcome> outcomes = Map.of(
                200, ScaleOutcome.ACCEPTED,
                409, ScaleOutcome.CONFLICT,
                429, ScaleOutcome.REJECTED,
                503, ScaleOutcome.REJECTED,
                500, ScaleOutcome.UNKNOWN,
                404, ScaleOutcome.UNKNOWN);
        for (Map.Entry<Integer, ScaleOutcome> each : outcomes.entrySet()) {
            platform.answerScaling(each.getKey());
            assertEquals(each.getValue(), order(EngineKind.SPOT, 9), each.toString());
        }
        cutsConnections.set(true);
        assertEquals(ScaleOutcome.UNKNOWN, order(EngineKind.SPOT, 9));
    }
}
