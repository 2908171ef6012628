package org.dogwoodwinch.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.follow.ConditionalLog;
import org.dogwoodwinch.follow.KeyedWriter;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.relay.CacheChanges;
import org.dogwoodwinch.relay.CacheSnapshot;
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

    private final StoreClient store = new StoreClient(
            client, InetSocketAddress.createUnresolved("10.0.0.3", 80), TIMEOUT_MILLIS, (_topic, _operation) -> {});

    private final KeyedWriter writer = store.writer("keyed.a");

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

    private CompletableFuture<Optional<CacheChanges>> askChanges(long sinceNumber) {
        return engines.cacheChanges(ENGINE, sinceNumber).toCompletableFuture();
    }

    private static String changes(long nextNumber, String rows) {
        return answer(
                "200 OK",
                "{\"epoch\":\"x\",\"nextToken\":" + nextNumber + ",\"lost\":false,\"events\":[" + rows + "]}");
    }

    private static String row(long number) {
        return "[" + number + ",\"+\",\"\",\"a" + number + "\",900,\"m\"]";
    }

    @Test
    void changesOfBeforeAreNotTakenForThoseThatFollow() {
        for (String late : List.of(
                changes(5, row(3) + "," + row(4)),
                changes(4, ""),
                answer("200 OK", REPORT),
                answer("200 OK", "{\"epoch\":\"x\",\"nextToken\":9,\"held\":[]}"),
                answer("200 OK", ""),
                answer("202 Accepted", "{}"))) {
            FakeControlServer.Connection kept = keptConnection();
            CompletableFuture<Optional<CacheChanges>> refused = askChanges(5);
            kept.send(late);

            assertEquals(Optional.empty(), refused.join(), late);
            assertFalse(kept.isOpen(), late);
            CompletableFuture<Optional<CacheChanges>> repeated = askChanges(5);
            server.latest().send(changes(7, row(5) + "," + row(6)));
            assertEquals(2, repeated.join().orElseThrow().changes().size());
            assertTrue(server.latest().isOpen());
            server.latest().close();
        }
    }

    /** The sound bound: what continues is accepted on a kept connection, and what begins again on a new one. */
    @Test
    void changesThatContinueOrBeginAgainAreAccepted() {
        FakeControlServer.Connection kept = keptConnection();
        for (String own : List.of(changes(5, ""), changes(9, row(5) + "," + row(8)), changes(6, row(5)))) {
            CompletableFuture<Optional<CacheChanges>> asked = askChanges(5);
            kept.send(own);
            assertTrue(asked.join().isPresent(), own);
        }
        assertEquals(1, server.connectionsCount());
        kept.close();

        CompletableFuture<Optional<CacheChanges>> afterRestart = askChanges(5);
        server.latest().send(changes(1, row(0)));
        assertEquals(1, afterRestart.join().orElseThrow().nextNumber());
    }

    @Test
    void reportOfBeforeOrderIsNotTakenForOneAfterIt() {
        FakeControlServer.Connection kept = keptConnection();
        CompletableFuture<OrderOutcome> order = engines.order(ENGINE, ORDER).toCompletableFuture();
        server.latest().send(answer("202 Accepted", "{}"));
        assertEquals(OrderOutcome.TAKEN, order.join());
        CompletableFuture<Optional<OrderState>> late = askState();
        kept.send(answer("200 OK", REPORT));

        assertEquals(Optional.empty(), late.join());
        assertFalse(kept.isOpen());
        CompletableFuture<Optional<OrderState>> own = askState();
        server.latest().send(answer("200 OK", REPORT.replace("3", "4")));
        assertEquals(4, own.join().orElseThrow().ordersCount());
    }

    /** The first answer on a connection proves itself: an engine whose start is not stated begins to count again. */
    @Test
    void reportOfRestartedEngineIsAcceptedOnNewConnection() {
        keptConnection().close();
        CompletableFuture<Optional<OrderState>> state = askState();
        server.latest().send(answer("200 OK", REPORT.replace("3", "0")));
        assertEquals(0, state.join().orElseThrow().ordersCount());

        CompletableFuture<Optional<OrderState>> next = askState();
        server.latest().send(answer("200 OK", REPORT.replace("3", "1")));
        assertEquals(1, next.join().orElseThrow().ordersCount());
    }

    @Test
    void answerToPollIsNotTakenForCompleteList() {
        for (String late : List.of(changes(5, row(4)), answer("200 OK", REPORT), answer("200 OK", ""))) {
            FakeControlServer.Connection kept = keptConnection();
            CompletableFuture<Optional<CacheSnapshot>> list =
                    engines.cacheSnapshot(ENGINE).toCompletableFuture();
            kept.send(late);

            assertEquals(Optional.empty(), list.join(), late);
            assertFalse(kept.isOpen(), late);
        }
    }

    private FakeControlServer.Connection keptStoreConnection() {
        CompletableFuture<Boolean> put = put("0");
        FakeControlServer.Connection kept = server.latest();
        kept.send(answer("200 OK", "{\"offset\":5,\"end\":6}"));
        assertTrue(put.join());
        return kept;
    }

    private CompletableFuture<Boolean> put(String value) {
        return writer.put("key", Optional.of(Bytes.ofUtf8(value))).toCompletableFuture();
    }

    private CompletableFuture<ConditionalLog.Appended> append(long expectedEnd) {
        return store.log("orders").append(Bytes.ofUtf8("x"), expectedEnd).toCompletableFuture();
    }

    /** A claim that counts as written though another instance holds the lease lets two of them send orders. */
    @Test
    void answerOfBeforeIsNotTakenForAcknowledgementOfConditionalAppend() {
        for (String late : List.of(
                answer("200 OK", "{\"offset\":5,\"end\":6}"),
                answer("412 Precondition Failed", "{\"end\":9}"),
                answer("200 OK", "{\"items\":[],\"truncated\":false,\"end\":9}"),
                answer("200 OK", "\0\0\0\0\0\0\0\u0009\0\0\0\0\0\0\0\0"),
                answer("200 OK", ""))) {
            FakeControlServer.Connection kept = keptStoreConnection();
            CompletableFuture<ConditionalLog.Appended> refused = append(9);
            kept.send(late);

            assertTrue(refused.join() instanceof ConditionalLog.Unknown, late);
            assertFalse(kept.isOpen(), late);
        }
    }

    @Test
    void answerOfBeforeIsNotTakenForAcknowledgementOfAppend() {
        for (String late : List.of(
                answer("200 OK", "{\"offset\":5,\"end\":6}"),
                answer("200 OK", "{\"items\":[],\"truncated\":false,\"end\":9}"),
                answer("200 OK", ""))) {
            FakeControlServer.Connection kept = keptStoreConnection();
            CompletableFuture<Boolean> refused = put("1");
            kept.send(late);

            assertFalse(refused.join(), late);
            assertFalse(kept.isOpen(), late);
        }
    }

    @Test
    void beginningOfSecondAnswerDoesNotAcknowledgeAppend() {
        String late = answer("200 OK", "{\"offset\":5,\"end\":6}");
        String own = answer("412 Precondition Failed", "{\"end\":12}");
        for (int cut = 0; cut <= late.length(); cut++) {
            for (boolean oneRead : new boolean[] {true, false}) {
                FakeControlServer.Connection kept = keptStoreConnection();
                CompletableFuture<ConditionalLog.Appended> conditional = append(9);
                answerWith(kept, late.substring(0, cut), own, oneRead);
                assertFalse(conditional.join() instanceof ConditionalLog.Written, "cut at " + cut);
                kept.close();

                kept = keptStoreConnection();
                CompletableFuture<Boolean> put = put("1");
                answerWith(kept, late.substring(0, cut), own, oneRead);
                assertFalse(put.join(), "cut at " + cut);
                kept.close();
            }
        }
    }

    /** Sends the beginning of a second answer and the own answer, and lets the call time out if neither ended it. */
    private void answerWith(FakeControlServer.Connection kept, String late, String own, boolean oneRead) {
        if (oneRead) {
            kept.send(late + own);
        } else {
            kept.send(late);
            kept.send(own);
        }
        time.advanceMillis(TIMEOUT_MILLIS);
    }

    @Test
    void ownAnswersToAppendsAreAcceptedOnOneConnection() {
        FakeControlServer.Connection kept = keptStoreConnection();
        CompletableFuture<Boolean> put = put("1");
        kept.send(answer("200 OK", "{\"offset\":6,\"end\":7}"));
        assertTrue(put.join());
        CompletableFuture<ConditionalLog.Appended> written = append(9);
        kept.send(answer("200 OK", "{\"offset\":9,\"end\":10}"));
        assertEquals(new ConditionalLog.Written(9), written.join());
        CompletableFuture<ConditionalLog.Appended> mismatch = append(9);
        kept.send(answer("412 Precondition Failed", "{\"end\":10}"));
        assertEquals(new ConditionalLog.EndOffsetMismatch(10), mismatch.join());
        assertEquals(1, server.connectionsCount());
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
