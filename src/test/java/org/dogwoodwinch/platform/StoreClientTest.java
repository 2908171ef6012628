package org.dogwoodwinch.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.follow.ConditionalLog;
import org.dogwoodwinch.follow.LogPosition;
import org.dogwoodwinch.follow.ReadResult;
import org.dogwoodwinch.net.Addresses;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.relay.ConnectionPolicy;
import org.dogwoodwinch.relay.ControlClient;
import org.dogwoodwinch.standin.platform.StandInListener;
import org.dogwoodwinch.standin.platform.StoreStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class StoreClientTest {

    private static final String TOPIC = "keyed.op";

    private final Transport loop = Transport.start(1);
    private final EventLoopTime time = new EventLoopTime(loop.eventLoopGroup().next());
    private final StoreStandIn store = new StoreStandIn(time);
    private final List<Long> newEras = new CopyOnWriteArrayList<>();
    private final List<String> sentCalls = new CopyOnWriteArrayList<>();

    /** Eras to state instead of the store's own in the next answers. */
    private final Deque<String> falseEras = new ConcurrentLinkedDeque<>();

    /** Bodies of answers that are cut short by the end of their connection. */
    private final Deque<String> cutAnswers = new ConcurrentLinkedDeque<>();

    private StandInListener listener;
    private StoreClient client;

    @BeforeEach
    void start() throws Exception {
        listener = StandInListener.bind(loop, (request, answer) -> {
            String era = falseEras.poll();
            String cut = cutAnswers.poll();
            if (cut != null) {
                answer.beginUnframed(200, Map.of("store-era", "1"));
                answer.chunk(cut.getBytes(StandardCharsets.UTF_8));
                answer.end();
            } else if (era == null) {
                store.handle(request, answer);
            } else {
                answer.whole(
                        200,
                        Map.of("store-era", era),
                        "{\"items\":[],\"truncated\":false,\"end\":7}".getBytes(StandardCharsets.UTF_8));
            }
        });
        client = new StoreClient(
                new ControlClient(loop, loop.eventLoopGroup().next(), time, new ConnectionPolicy(1_000, 1_000, 1_000)),
                Addresses.parse(listener.address()),
                10_000,
                (topic, operation) -> sentCalls.add(topic + " " + operation.label()));
        client.eras().onNewEra(newEras::add);
    }

    @AfterEach
    void stop() {
        listener.close();
        loop.eventLoopGroup().shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Failure: the offset from which a read goes on exists again after a copy, before other records. */
    @Test
    void readAtOffsetGivenOutAgainIsExpired() throws Exception {
        onStore(() -> store.put(TOPIC, "config", "a"));
        ReadResult.Page page = assertInstanceOf(ReadResult.Page.class, readSnapshot());
        assertEquals(LogPosition.of(1, 1), page.endOffset());
        assertEquals(LogPosition.of(1, 0), page.records().get(0).offset());

        StoreStandIn.Copy empty = new StoreStandIn(time).copy();
        onStore(() -> {
            store.comeBackFrom(empty);
            store.put(TOPIC, "config", "a");
            store.put(TOPIC, "config", "b");
        });

        assertInstanceOf(ReadResult.Expired.class, read(page.endOffset()));
        assertEquals(List.of(2L), newEras);
        ReadResult.Batch batch = assertInstanceOf(ReadResult.Batch.class, read(LogPosition.of(2, 1)));
        assertEquals(LogPosition.of(2, 1), batch.records().get(0).offset());
        assertEquals(LogPosition.of(2, 2), batch.nextOffset());
    }

    /** Guards against calls to the store that no metric shows, although the store limits and bills them. */
    @Test
    void everyCallIsAnnouncedWithTopicAndOperation() throws Exception {
        readSnapshot();
        read(LogPosition.of(1, 0));
        client.writer("keyed.a")
                .put("key", Optional.of(Bytes.ofUtf8("1")))
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
        await(client.log("b"), Bytes.ofUtf8("2"), 0);

        assertEquals(
                List.of(TOPIC + " snapshot", TOPIC + " read", "keyed.a append", "b conditional_append"), sentCalls);
    }

    @Test
    void answerOfEarlierEraIsNotUsed() throws Exception {
        onStore(() -> store.comeBackFrom(store.copy()));
        assertInstanceOf(ReadResult.Page.class, readSnapshot());

        falseEras.add("1");
        assertInstanceOf(ReadResult.Unavailable.class, readSnapshot());
        assertEquals(List.of(), newEras);
    }

    /** Guards against taking the first era that is stated for a copy, after an answer of something before the store. */
    @Test
    void answerWithoutEraBeginsNone() throws Exception {
        falseEras.add("");
        readSnapshot();
        assertInstanceOf(ReadResult.Page.class, readSnapshot());

        assertEquals(List.of(), newEras);
    }

    @Test
    void unreadableEraCountsAsNone() throws Exception {
        for (String era : List.of("x", "-1", "", "99999999999999999999")) {
            falseEras.add(era);
            assertEquals(
                    7, assertInstanceOf(ReadResult.Page.class, readSnapshot()).endOffset(), era);
        }
    }

    @Test
    void appendStatesPositionInTheEraThatTookIt() throws Exception {
        ConditionalLog log = client.log("orders");
        Bytes content = Bytes.ofUtf8("x");
        assertEquals(new ConditionalLog.Written(LogPosition.of(1, 0)), await(log, content, 0));

        onStore(() -> store.comeBackFrom(store.copy()));

        assertEquals(new ConditionalLog.EndOffsetMismatch(LogPosition.of(2, 1)), await(log, content, 0));
        assertEquals(new ConditionalLog.Written(LogPosition.of(2, 1)), await(log, content, LogPosition.of(1, 1)));
    }

    private static ConditionalLog.Appended await(ConditionalLog log, Bytes content, long expectedEnd) throws Exception {
        return log.append(content, expectedEnd).toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /** Failure: a page that was cut short is read as one without targets, and all targets are taken for gone. */
    @Test
    void pageThatIsCutShortIsNoEmptyOne() throws Exception {
        for (String cut : List.of("", "{}", "{\"items\":[]}", "{\"items\":[],\"truncated\":false,\"en")) {
            cutAnswers.add(cut);
            assertInstanceOf(ReadResult.Unavailable.class, readSnapshot(), cut);
        }
    }

    private ReadResult readSnapshot() throws Exception {
        return client.keyed(TOPIC)
                .readSnapshotPage(Optional.empty())
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
    }

    private ReadResult read(long position) throws Exception {
        return client.keyed(TOPIC).read(position, 0).toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private void onStore(Runnable action) throws Exception {
        loop.eventLoopGroup().next().submit(action).get(10, TimeUnit.SECONDS);
    }
}
