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
import org.dogwoodwinch.forwarding.OrderLease;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.StagePlanPolicy;
import org.dogwoodwinch.forwarding.StagePlanner;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.relay.CacheChanges;
import org.dogwoodwinch.relay.CacheList;
import org.dogwoodwinch.relay.EngineControl;
import org.dogwoodwinch.relay.OrderOutcome;
import org.dogwoodwinch.relay.OrderState;
import org.dogwoodwinch.relay.PromptMemory;
import org.dogwoodwinch.relay.StageOrder;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

/** Orders of several instances that each take themselves for the giver, as engines that check no token see them. */
class StageOrdersTest {

    private static final long APART_MILLIS = 3_000;
    private static final int SCHEDULES = 200;

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final List<Long> storeRecords = new ArrayList<>();
    private final List<Arrival> arrivals = new ArrayList<>();
    private final List<Giver> givers = new ArrayList<>();
    private OrderOutcome outcome = OrderOutcome.TAKEN;

    private record Arrival(String engine, String holder, long token, long atMillis) {}

    /** One instance: it believes that orders fall to it while its switch says so. */
    private final class Giver implements EngineControl {

        private final LoadTracker loads = new LoadTracker();
        private final TargetDirectory directory =
                new TargetDirectory(new TargetHealth(time::monotonicMillis), NoRateLimits.create());
        private boolean gives;
        private boolean storeLosesAnswers;
        private long storeMillis = 4;
        private long wayMillis = 1;

        Giver(String name) {
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
                                    () -> gives,
                                    this::append,
                                    this,
                                    (_engine, _millis) -> {}),
                            new OrderLease(1_000, APART_MILLIS + 2_000),
                            time)
                    .start();
        }

        private CompletionStage<ConditionalLog.Appended> append(Bytes _record, long end) {
            CompletableFuture<ConditionalLog.Appended> result = new CompletableFuture<>();
            boolean lost = storeLosesAnswers;
            time.schedule(storeMillis, () -> {
                ConditionalLog.Appended appended;
                if (storeRecords.size() == end) {
                    storeRecords.add(time.monotonicMillis());
                    appended = new ConditionalLog.Written(end);
                } else {
                    appended = new ConditionalLog.EndOffsetMismatch(storeRecords.size());
                }
                if (lost) {
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
            OrderOutcome answered = outcome;
            time.schedule(wayMillis, () -> {
                arrivals.add(new Arrival(engine.id(), order.holder(), order.fencingToken(), time.monotonicMillis()));
                result.complete(answered);
            });
            return result;
        }

        @Override
        public Optional<PromptMemory> readMemory(Incarnation _reader, Bytes _body) {
            return Optional.empty();
        }

        @Override
        public void release(Incarnation _reader, PromptMemory _memory) {}

        @Override
        public CompletionStage<Optional<CacheChanges>> cacheChanges(Incarnation _engine, long _sinceNumber) {
            return new CompletableFuture<>();
        }

        @Override
        public CompletionStage<Optional<CacheList>> cacheList(Incarnation _engine) {
            return new CompletableFuture<>();
        }
    }

    private Giver giver(String name) {
        Giver giver = new Giver(name);
        givers.add(giver);
        return giver;
    }

    /** Tokens are never shared, never fall at an engine, and two holders' orders to one engine are far apart. */
    private void assertOneGiver() {
        Set<Long> tokens = new HashSet<>();
        for (int i = 0; i < arrivals.size(); i++) {
            Arrival later = arrivals.get(i);
            assertTrue(tokens.add(later.token), arrivals::toString);
            for (Arrival earlier : arrivals.subList(0, i)) {
                assertTrue(earlier.token < later.token, arrivals::toString);
                boolean apart = later.atMillis - earlier.atMillis >= APART_MILLIS;
                assertTrue(earlier.holder.equals(later.holder) || apart, arrivals::toString);
            }
        }
    }

    @Test
    void anEngineIsOrderedByTheGiverAlone() {
        giver("a").gives = true;
        giver("b");
        time.advanceMillis(3_000);
        assertEquals(1, arrivals.size());
        assertEquals("a", arrivals.get(0).holder);
    }

    /**
     * The giver dies and another one follows. Engines that check no token would carry out an order that the first one
     * still had under way; the second waits until that cannot be.
     */
    @Test
    void aSuccessorWaitsUntilNoOrderOfTheFirstCanBeUnderWay() {
        Giver first = giver("a");
        Giver second = giver("b");
        first.gives = true;
        time.advanceMillis(1_500);
        first.gives = false;
        second.gives = true;
        time.advanceMillis(15_000);
        assertTrue(arrivals.stream().anyMatch(arrival -> arrival.holder.equals("b")), arrivals::toString);
        assertOneGiver();
    }

    /** The record was written but its answer lost: its token is never used, and the next one is higher. */
    @Test
    void aRecordWhoseAnswerWasLostGivesNoRight() {
        Giver giver = giver("a");
        giver.gives = true;
        giver.storeLosesAnswers = true;
        time.advanceMillis(2_000);
        giver.storeLosesAnswers = false;
        assertEquals(1, storeRecords.size());
        assertEquals(List.of(), arrivals);
        time.advanceMillis(15_000);
        assertTrue(arrivals.size() > 0 && arrivals.get(0).token > 0, arrivals::toString);
    }

    /** The store answers after the right's time, as after a freeze: no order follows. */
    @Test
    void aRightThatCameTooLateIsNotUsed() {
        Giver giver = giver("a");
        giver.gives = true;
        giver.storeMillis = 1_200;
        time.advanceMillis(20_000);
        assertTrue(storeRecords.size() > 1);
        assertEquals(List.of(), arrivals);
    }

    /** An order without an answer may be carried out many seconds later; its engine gets no other one meanwhile. */
    @Test
    void anEngineWhoseOrderHadNoAnswerIsLeftAlone() {
        outcome = OrderOutcome.UNKNOWN;
        giver("a").gives = true;
        time.advanceMillis(19_000);
        Set<String> engines = new HashSet<>();
        arrivals.forEach(arrival -> assertTrue(engines.add(arrival.engine), arrivals::toString));
        assertTrue(arrivals.size() > 1);
    }

    /** 200 schedules: who gives changes at any time, two give at once, the store is slow or loses answers. */
    @Test
    void whoeverTakesItselfForTheGiverOrdersDoNotMix() {
        int orders = 0;
        for (int schedule = 0; schedule < SCHEDULES; schedule++) {
            orders += new StageOrdersTest().play(RandomSource.XO_RO_SHI_RO_128_PP.create(schedule));
        }
        assertTrue(orders > SCHEDULES, "orders given: " + orders);
    }

    private int play(UniformRandomProvider random) {
        for (String name : List.of("a", "b", "c")) {
            giver(name);
        }
        for (int step = 0; step < 40; step++) {
            Giver one = givers.get(random.nextInt(givers.size()));
            one.gives = random.nextBoolean();
            one.storeLosesAnswers = random.nextInt(4) == 0;
            one.storeMillis = random.nextInt(4) == 0 ? random.nextInt(1_500) : 4;
            one.wayMillis = random.nextInt(1_000);
            time.advanceMillis(random.nextInt(2_000));
        }
        assertOneGiver();
        return arrivals.size();
    }
}
