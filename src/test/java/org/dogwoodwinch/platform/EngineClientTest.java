package org.dogwoodwinch.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.net.Addresses;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.relay.ConnectionPolicy;
import org.dogwoodwinch.relay.ControlClient;
import org.dogwoodwinch.relay.StageOrder;
import org.dogwoodwinch.relay.TargetStatements;
import org.dogwoodwinch.standin.platform.StandInHandler;
import org.dogwoodwinch.standin.platform.StandInListener;
import org.dogwoodwinch.standin.platform.TargetFault;
import org.dogwoodwinch.standin.platform.TargetStandIn;
import org.dogwoodwinch.standin.platform.TargetTraits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class EngineClientTest {

    private static final String ID = "i-e1";
    private static final long STARTED_MILLIS = 9;

    private final Transport loop = Transport.start(1);
    private final EventLoopTime time = new EventLoopTime(loop.eventLoopGroup().next());
    private final List<String> leaving = new CopyOnWriteArrayList<>();
    private final Map<String, Long> restsMillis = new ConcurrentHashMap<>();

    @AfterEach
    void stop() {
        loop.eventLoopGroup().shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void eachAnswerToControlCallsTellsThatEngineLeaves() throws Exception {
        TargetStandIn engine = new TargetStandIn(
                ID, TargetTraits.DECODE, TargetStandIn.FIRST_VERSION, time, _request -> TargetFault.NONE);
        try (StandInListener listener = StandInListener.bind(loop, engine)) {
            EngineClient client = client();
            Incarnation listed = listed(listener);
            await(client.orderState(listed));
            assertEquals(List.of(), leaving);

            engine.leave();
            await(client.orderState(listed));
            await(client.cacheChanges(listed, 0));
            await(client.cacheSnapshot(listed));
            await(client.order(listed, new StageOrder(Stage.PREFILL, "n1", 1, 99)));

            assertEquals(List.of("i-e1/9", "i-e1/9", "i-e1/9", "i-e1/9"), leaving);
        }
    }

    @Test
    void statementOfLaterStartUnderSameIdIsNotTakenForListedStart() throws Exception {
        StandInHandler laterStart = (_request, answer) -> answer.whole(
                200,
                Map.of("server-leaving", "1"),
                "{\"stage\":\"decode\",\"busy\":false,\"seq\":0,\"born\":12}".getBytes(StandardCharsets.UTF_8));
        try (StandInListener listener = StandInListener.bind(loop, laterStart)) {
            await(client().orderState(listed(listener)));

            assertEquals(List.of("i-e1/12"), leaving);
        }
    }

    @Test
    void engineThatAsksForRestGetsNoControlCallInIt() throws Exception {
        AtomicInteger received = new AtomicInteger();
        StandInHandler shedding = (_request, answer) -> {
            received.incrementAndGet();
            answer.whole(503, Map.of(HttpHeaderNames.RETRY_AFTER.toString(), "2.5"), new byte[0]);
        };
        try (StandInListener listener = StandInListener.bind(loop, shedding)) {
            EngineClient client = client();
            await(client.cacheChanges(listed(listener), 0));
            await(client.cacheChanges(listed(listener), 0));
            await(client.orderState(listed(listener)));

            assertEquals(1, received.get());
            assertEquals(Map.of(ID, 2_500L), restsMillis);
        }
    }

    private EngineClient client() {
        return new EngineClient(
                new ControlClient(loop, loop.eventLoopGroup().next(), time, new ConnectionPolicy(1_000, 1_000, 1_000)),
                new StatementLog(),
                10_000,
                0);
    }

    private static Incarnation listed(StandInListener listener) throws IOException {
        InetSocketAddress address = Addresses.parse(listener.address());
        return new Incarnation(
                ID,
                "reader",
                address.getHostString(),
                address.getPort(),
                "dc-1",
                64,
                false,
                Stage.DECODE,
                1,
                STARTED_MILLIS);
    }

    private static <T> T await(CompletionStage<T> stage) throws Exception {
        return stage.toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private final class StatementLog implements TargetStatements {

        @Override
        public void recordLeaving(String targetId, long startedMillis) {
            leaving.add(targetId + "/" + startedMillis);
        }

        @Override
        public void recordRest(String targetId, long _startedMillis, long restMillis) {
            restsMillis.put(targetId, restMillis);
        }

        @Override
        public boolean isResting(String targetId, long _startedMillis) {
            return restsMillis.containsKey(targetId);
        }
    }
}
