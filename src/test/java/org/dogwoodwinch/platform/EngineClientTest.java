package org.dogwoodwinch.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.net.Addresses;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.relay.ConnectionPolicy;
import org.dogwoodwinch.relay.ControlClient;
import org.dogwoodwinch.relay.StageOrder;
import org.dogwoodwinch.standin.platform.StandInListener;
import org.dogwoodwinch.standin.platform.TargetFault;
import org.dogwoodwinch.standin.platform.TargetStandIn;
import org.dogwoodwinch.standin.platform.TargetTraits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EngineClientTest {

    private final Transport loop = Transport.start(1);
    private final EventLoopTime time = new EventLoopTime(loop.eventLoopGroup().next());
    private final TargetStandIn engine =
            new TargetStandIn("i-e1", TargetTraits.DECODE, time, _request -> TargetFault.NONE);

    @AfterEach
    void stop() {
        loop.eventLoopGroup().shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void eachAnswerToControlCallsTellsThatEngineLeaves() throws Exception {
        List<String> leaving = new CopyOnWriteArrayList<>();
        try (StandInListener listener = StandInListener.bind(loop, engine)) {
            EngineClient client = new EngineClient(
                    new ControlClient(
                            loop, loop.eventLoopGroup().next(), time, new ConnectionPolicy(1_000, 1_000, 1_000)),
                    (id, startedMillis) -> leaving.add(id + "/" + startedMillis),
                    10_000,
                    0);
            String[] address = listener.address().split(":", -1);
            Incarnation listed = new Incarnation(
                    "i-e1",
                    "reader",
                    address[0],
                    Addresses.parse(listener.address()).getPort(),
                    "dc-1",
                    64,
                    false,
                    Stage.DECODE,
                    1,
                    9);

            client.orderState(listed).toCompletableFuture().get(10, TimeUnit.SECONDS);
            assertEquals(List.of(), leaving);

            engine.leave();
            client.orderState(listed).toCompletableFuture().get(10, TimeUnit.SECONDS);
            client.cacheChanges(listed, 0).toCompletableFuture().get(10, TimeUnit.SECONDS);
            client.cacheSnapshot(listed).toCompletableFuture().get(10, TimeUnit.SECONDS);
            client.order(listed, new StageOrder(Stage.PREFILL, "n1", 1, 99))
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS);

            assertEquals(List.of("i-e1/9", "i-e1/9", "i-e1/9", "i-e1/9"), leaving);
        }
    }
}
