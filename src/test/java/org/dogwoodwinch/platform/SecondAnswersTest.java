package org.dogwoodwinch.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.relay.ControlClient;
import org.dogwoodwinch.relay.FakeControlServer;
import org.dogwoodwinch.relay.OrderOutcome;
import org.dogwoodwinch.relay.OrderState;
import org.dogwoodwinch.relay.StageOrder;
import org.dogwoodwinch.relay.TargetStatements;
import org.dogwoodwinch.scaling.EngineKind;
import org.dogwoodwinch.scaling.EnginePool;
import org.dogwoodwinch.scaling.ScaleOrder;
import org.dogwoodwinch.scaling.ScaleOutcome;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.dogwoodwinch.usage.DutyOutcome;
import org.dogwoodwinch.usage.UsageReport;
import org.junit.jupiter.api.Test;

/** Plays servers that answer a control call a second time when the next question has been written. */
class SecondAnswersTest {

    private static final long TIMEOUT_MILLIS = 1_000;
    private static final Incarnation ENGINE =
            new Incarnation("e1", "s", "10.0.0.1", 80, "dc", 64, false, Stage.DECODE, 1, 9);
    private static final String REPORT = "{\"stage\":\"decode\",\"busy\":false,\"seq\":3}";
    private static final StageOrder ORDER = new StageOrder(Stage.PREFILL, "n1", 7, 3);

    private final VirtualTimeSource time = new VirtualTimeSource(0);
    private final FakeControlServer server = new FakeControlServer();
    private final ControlClient client = new ControlClient(server, time);
    private final EngineClient engines = new EngineClient(client, new NoStatements(), TIMEOUT_MILLIS, 0);
    private final DutyClient duties =
            new DutyClient(client, InetSocketAddress.createUnresolved("10.0.0.2", 80), TIMEOUT_MILLIS);

    private static String answer(String status, String body) {
        return FakeControlServer.answer(status, body);
    }

    private CompletableFuture<Optional<OrderState>> askState() {
        return engines.orderState(ENGINE).toCompletableFuture();
    }

    /** Leaves a kept connection that has carried a call. */
    private FakeControlServer.Connection keptConnection() {
        CompletableFuture<Optional<OrderState>> state = askState();
        FakeControlServer.Connection kept = server.latest();
        kept.send(answer("200 OK", REPORT));
        assertEquals(3, state.join().orElseThrow().ordersCount());
        assertTrue(kept.isOpen());
        return kept;
    }

    @Test
    void secondAnswerIsNotTakenForAcknowledgementOfOrder() {
        for (String late : List.of(answer("200 OK", REPORT), answer("202 Accepted", "{}"), answer("200 OK", ""))) {
            for (int cut = 0; cut <= late.length(); cut++) {
                FakeControlServer.Connection kept = keptConnection();
                CompletableFuture<OrderOutcome> outcome =
                        engines.order(ENGINE, ORDER).toCompletableFuture();
                kept.send(late.substring(0, cut));
                assertFalse(outcome.isDone(), "cut at " + cut);
                server.latest().send(answer("409 Conflict", "{}"));

                assertEquals(OrderOutcome.REFUSED, outcome.join(), "cut at " + cut);
                kept.close();
            }
        }
    }

    @Test
    void answerToOrderIsNotTakenForNextOrder() {
        CompletableFuture<OrderOutcome> first = engines.order(ENGINE, ORDER).toCompletableFuture();
        FakeControlServer.Connection ofFirst = server.latest();
        ofFirst.send(answer("202 Accepted", "{}"));
        assertEquals(OrderOutcome.TAKEN, first.join());
        assertFalse(ofFirst.isOpen());
        CompletableFuture<OrderOutcome> second = engines.order(ENGINE, ORDER).toCompletableFuture();
        ofFirst.send(answer("202 Accepted", "{}"));

        assertFalse(second.isDone());
        server.latest().send(answer("412 Precondition Failed", "{}"));
        assertEquals(OrderOutcome.FENCED, second.join());
    }

    @Test
    void secondAnswerIsNotTakenForAcknowledgementOfDuty() {
        ScaleOrder order = new ScaleOrder("s", new EnginePool("dc", EngineKind.SPOT), 6);
        CompletableFuture<ScaleOutcome> first = duties.send("n1", 7, order).toCompletableFuture();
        FakeControlServer.Connection ofFirst = server.latest();
        ofFirst.send(answer("200 OK", ""));
        assertEquals(ScaleOutcome.ACCEPTED, first.join());
        CompletableFuture<ScaleOutcome> second = duties.send("n1", 7, order).toCompletableFuture();
        CompletableFuture<DutyOutcome> usage =
                duties.send("n1", 7, new UsageReport(4, Map.of("a", 2L))).toCompletableFuture();
        ofFirst.send(answer("200 OK", ""));

        assertFalse(second.isDone());
        assertFalse(usage.isDone());
        server.latest().send(answer("409 Conflict", ""));
        assertEquals(DutyOutcome.FENCED, usage.join());
        assertEquals(3, server.connectionsCount());
    }

    /** An engine takes few connections: polls share them, and only an order opens one. */
    @Test
    void pollsShareConnectionBesideOrder() {
        FakeControlServer.Connection kept = keptConnection();
        CompletableFuture<OrderOutcome> outcome = engines.order(ENGINE, ORDER).toCompletableFuture();
        server.latest().send(answer("409 Conflict", "{}"));
        CompletableFuture<Optional<OrderState>> state = askState();
        kept.send(answer("200 OK", REPORT));

        assertEquals(OrderOutcome.REFUSED, outcome.join());
        assertTrue(state.join().isPresent());
        assertEquals(2, server.connectionsCount());
    }

    private static final class NoStatements implements TargetStatements {

        @Override
        public void recordLeaving(String _targetId, long _startedMillis) {}

        @Override
        public void recordRest(String _targetId, long _startedMillis, long _restMillis) {}

        @Override
        public boolean isResting(String _targetId, long _startedMillis) {
            return false;
        }
    }
}
