package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.follow.ConditionalLog;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.NoRateLimits;
import org.dogwoodwinch.forwarding.NoRests;
import org.dogwoodwinch.forwarding.OrderLease;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.StagePlanPolicy;
import org.dogwoodwinch.forwarding.StagePlanner;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.relay.CacheChanges;
import org.dogwoodwinch.relay.CacheSnapshot;
import org.dogwoodwinch.relay.EngineControl;
import org.dogwoodwinch.relay.KvCacheHandle;
import org.dogwoodwinch.relay.OrderOutcome;
import org.dogwoodwinch.relay.OrderState;
import org.dogwoodwinch.relay.StageOrder;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

/**
 * Checks the orders of several instances that each consider themselves the issuer, as received by engines that check no
 * fencing token.
 */
class StageOrdersTest {

    private static final long MIN_SEPARATION_MILLIS = 3_000;
    private static final int SCHEDULE_COUNT = 200;

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final List<Long> recordTimesMillis = new ArrayList<>();
    private final List<ReceivedOrder> receivedOrders = new ArrayList<>();
    private final List<Issuer> issuers = new ArrayList<>();
    private OrderOutcome outcome = OrderOutcome.TAKEN;

    private record ReceivedOrder(String engine, String holder, long token, long atMillis) {}

    /** An instance that considers itself the issuer of orders while {@code isIssuing} is set. */
    private final class Issuer implements EngineControl {

        private final LoadTracker loads = new LoadTracker();
        private final TargetDirectory directory =
                new TargetDirectory(new TargetHealth(time::monotonicMillis), NoRateLimits.create(), NoRests.create());
        private boolean isIssuing;
        private boolean losesStoreResponses;
        private long storeLatencyMillis = 4;
        private long orderLatencyMillis = 1;

        Issuer(String name) {
            for (int i = 0; i < 8; i++) {
                Stage stage = i < 3 ? Stage.PREFILL : Stage.DECODE;
                directory.apply(
                        "e" + i,
                        i,
                        Optional.of(new Incarnation("e" + i, "s", "10.0.0.1", 80, "dc", 24, false, stage, 1)));
                if (i < 3) {
                    loads.recordSend("e" + i, 0, 30_000);
                }
            }
            new StageOrders(
                            new StageOrders.Dependencies(
                                    name,
                                    directory,
                                    loads,
                                    () -> Set.of("s"),
                                    _service -> 3_000,
                                    _service -> new StagePlanner(StagePlanPolicy.DEFAULT, new PrefillRates(30)),
                                    () -> true,
                                    () -> isIssuing,
                                    this::append,
                                    this,
                                    (_engine, _millis) -> {}),
                            new OrderLease(1_000, MIN_SEPARATION_MILLIS + 2_000),
                            time)
                    .start();
        }

        private CompletionStage<ConditionalLog.Appended> append(Bytes _record, long end) {
            CompletableFuture<ConditionalLog.Appended> result = new CompletableFuture<>();
            boolean responseLost = losesStoreResponses;
            time.schedule(storeLatencyMillis, () -> {
                ConditionalLog.Appended appended;
                if (recordTimesMillis.size() == end) {
                    recordTimesMillis.add(time.monotonicMillis());
                    appended = new ConditionalLog.Written(end);
                } else {
                    appended = new ConditionalLog.EndOffsetMismatch(recordTimesMillis.size());
                }
                if (responseLost) {
                    time.schedule(700, () -> result.complete(new ConditionalLog.Unknown("timeout")));
                } else {
                    result.complete(appended);
                }
            });
            return result;
        }

        @Override
        public CompletionStage<Optional<OrderState>> orderState(Incarnation engine) {
            return CompletableFuture.completedFuture(Optional.of(new OrderState(engine.stage(), false, 0)));
        }

        @Override
        public CompletionStage<OrderOutcome> order(Incarnation engine, StageOrder order) {
            CompletableFuture<OrderOutcome> result = new CompletableFuture<>();
            OrderOutcome configuredOutcome = outcome;
            time.schedule(orderLatencyMillis, () -> {
                receivedOrders.add(
                        new ReceivedOrder(engine.id(), order.holder(), order.fencingToken(), time.monotonicMillis()));
                result.complete(configuredOutcome);
            });
            return result;
        }

        @Override
        public Optional<KvCacheHandle> parseCacheHandle(Incarnation _reader, Bytes _body) {
            return Optional.empty();
        }

        @Override
        public void releaseCache(Incarnation _reader, KvCacheHandle _memory) {}

        @Override
        public CompletionStage<Optional<CacheChanges>> cacheChanges(Incarnation _engine, long _sinceNumber) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletionStage<Optional<CacheSnapshot>> cacheSnapshot(Incarnation _engine) {
            return new CompletableFuture<>();
        }
    }

    private Issuer addIssuer(String name) {
        Issuer issuer = new Issuer(name);
        issuers.add(issuer);
        return issuer;
    }

    /** Asserts that tokens are unique and increasing, and that orders of different holders are far enough apart. */
    private void assertOrdersAreExclusive() {
        Set<Long> tokens = new HashSet<>();
        for (int i = 0; i < receivedOrders.size(); i++) {
            ReceivedOrder later = receivedOrders.get(i);
            assertTrue(tokens.add(later.token), receivedOrders::toString);
            for (ReceivedOrder earlier : receivedOrders.subList(0, i)) {
                assertTrue(earlier.token < later.token, receivedOrders::toString);
                boolean separated = later.atMillis - earlier.atMillis >= MIN_SEPARATION_MILLIS;
                assertTrue(earlier.holder.equals(later.holder) || separated, receivedOrders::toString);
            }
        }
    }

    @Test
    void onlyActiveIssuerSendsOrders() {
        addIssuer("a").isIssuing = true;
        addIssuer("b");
        time.advanceMillis(3_000);
        assertEquals(1, receivedOrders.size());
        assertEquals("a", receivedOrders.get(0).holder);
    }

    /**
     * Failure: the issuer dies while an order is in flight, and an engine that checks no token executes it after one of
     * the successor, so the successor waits until no earlier order can be in flight.
     */
    @Test
    void successorWaitsUntilEarlierOrdersCannotArrive() {
        Issuer first = addIssuer("a");
        Issuer second = addIssuer("b");
        first.isIssuing = true;
        time.advanceMillis(1_500);
        first.isIssuing = false;
        second.isIssuing = true;
        time.advanceMillis(15_000);
        assertTrue(receivedOrders.stream().anyMatch(received -> received.holder.equals("b")), receivedOrders::toString);
        assertOrdersAreExclusive();
    }

    /**
     * The record was written but the store's response was lost: its token is never used, and the next one is higher.
     */
    @Test
    void unconfirmedRecordGrantsNoLease() {
        Issuer issuer = addIssuer("a");
        issuer.isIssuing = true;
        issuer.losesStoreResponses = true;
        time.advanceMillis(2_000);
        issuer.losesStoreResponses = false;
        assertEquals(1, recordTimesMillis.size());
        assertEquals(List.of(), receivedOrders);
        time.advanceMillis(15_000);
        assertTrue(receivedOrders.size() > 0 && receivedOrders.get(0).token > 0, receivedOrders::toString);
    }

    /** The store confirms the lease after its term has ended, as after a pause of the process: no order follows. */
    @Test
    void leaseThatExpiredBeforeConfirmationIsNotUsed() {
        Issuer issuer = addIssuer("a");
        issuer.isIssuing = true;
        issuer.storeLatencyMillis = 1_200;
        time.advanceMillis(20_000);
        assertTrue(recordTimesMillis.size() > 1);
        assertEquals(List.of(), receivedOrders);
    }

    /** An unanswered order may be executed many seconds later, so its engine receives no other order meanwhile. */
    @Test
    void engineWithUnansweredOrderReceivesNoOther() {
        outcome = OrderOutcome.UNKNOWN;
        addIssuer("a").isIssuing = true;
        time.advanceMillis(19_000);
        Set<String> engines = new HashSet<>();
        receivedOrders.forEach(received -> assertTrue(engines.add(received.engine), receivedOrders::toString));
        assertTrue(receivedOrders.size() > 1);
    }

    /** Runs 200 schedules: issuers change at any time, two issue at once, and the store is slow or loses responses. */
    @Test
    void ordersOfConcurrentIssuersNeverOverlap() {
        int orderCount = 0;
        for (int schedule = 0; schedule < SCHEDULE_COUNT; schedule++) {
            orderCount += new StageOrdersTest().simulate(RandomSource.XO_RO_SHI_RO_128_PP.create(schedule));
        }
        assertTrue(orderCount > SCHEDULE_COUNT, "orders received: " + orderCount);
    }

    private int simulate(UniformRandomProvider random) {
        for (String name : List.of("a", "b", "c")) {
            addIssuer(name);
        }
        for (int step = 0; step < 40; step++) {
            Issuer issuer = issuers.get(random.nextInt(issuers.size()));
            issuer.isIssuing = random.nextBoolean();
            issuer.losesStoreResponses = random.nextInt(4) == 0;
            issuer.storeLatencyMillis = random.nextInt(4) == 0 ? random.nextInt(1_500) : 4;
            issuer.orderLatencyMillis = random.nextInt(1_000);
            time.advanceMillis(random.nextInt(2_000));
        }
        assertOrdersAreExclusive();
        return receivedOrders.size();
    }
}
