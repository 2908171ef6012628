package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.follow.ConditionalLog;
import org.dogwoodwinch.forwarding.EngineTraits;
import org.dogwoodwinch.forwarding.ForwardingPlan;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.LeastLoadedChooser;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.NoRateLimits;
import org.dogwoodwinch.forwarding.OrderLease;
import org.dogwoodwinch.forwarding.PrefillQueue;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.ServiceEntry;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.StagePlanPolicy;
import org.dogwoodwinch.forwarding.StagePlanner;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.dogwoodwinch.forwarding.TargetQuery;
import org.dogwoodwinch.relay.OrderOutcome;
import org.dogwoodwinch.relay.OrderState;
import org.dogwoodwinch.relay.SilentEngines;
import org.dogwoodwinch.relay.StageOrder;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

/** Load: six instances send calls all the while one engine of eight is ordered to change its stage. */
class StageChangeTest {

    private static final long SWITCH_MILLIS = 3_000;
    private static final long CALL_GAP_MILLIS = 20;
    private static final long RUN_MILLIS = 400;
    private static final long WORD_MILLIS = 300;
    private static final long LIST_MILLIS = 400;
    private static final int HANDFUL = 5;

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
    private final ServiceEntry service =
            new ServiceEntry("s", 360, Optional.of(new EngineTraits(64, 400_000, 18_000, 370_000, 5_000, 3_000)));
    private final List<Instance> instances = new ArrayList<>();
    private final Engines engines = new Engines();
    private int rejectedCount;
    private int withoutTargetCount;

    /** It finishes what it runs, and is back only then: it rejects all that comes meanwhile and looks idle. */
    @Test
    void anEngineWithLongWorkGetsNothingUntilItIsBack() {
        engines.finishMillis = 5_000;
        start();

        play(12_000);

        assertEquals(1, engines.changedCount);
        assertTrue(rejectedCount <= HANDFUL, rejectedCount + " calls were rejected");
        assertEquals(0, withoutTargetCount);
    }

    /** The answer to the order is lost, and the order too: the engine stands as before. */
    @Test
    void anEngineThatNeverGotItsOrderIsUsedAgain() {
        engines.outcome = OrderOutcome.UNKNOWN;
        engines.carriedOutAfterMillis = Long.MAX_VALUE;
        start();

        play(6_000);

        instances.forEach(
                each -> assertEquals(8, each.directory.readyTargets("s").size()));
    }

    /** The answer is lost, and the engine carries the order out seconds later, when its work counts on it again. */
    @Test
    void anEngineThatChangesLateGetsLittle() {
        engines.outcome = OrderOutcome.UNKNOWN;
        engines.carriedOutAfterMillis = 5_000;
        engines.finishMillis = 3_000;
        start();

        play(14_000);

        long unnoticedMillis = 2_500;
        long most = unnoticedMillis / CALL_GAP_MILLIS / 3;
        assertTrue(rejectedCount <= most, rejectedCount + " calls were rejected, " + most + " while it is found out");
    }

    private void start() {
        for (int i = 0; i < 6; i++) {
            instances.add(new Instance());
        }
        new StageOrders(
                        new StageOrders.Dependencies(
                                "i0",
                                instances.get(0).directory,
                                instances.get(0).loads,
                                () -> Set.of("s"),
                                _service -> SWITCH_MILLIS,
                                _service -> new StagePlanner(StagePlanPolicy.DEFAULT, new PrefillRates(30)),
                                () -> true,
                                () -> engines.changedCount == 0 && engines.orderedAtMillis < 0,
                                (_record, end) -> CompletableFuture.completedFuture(new ConditionalLog.Written(end)),
                                engines,
                                this::tell),
                        new OrderLease(1_000, 5_000),
                        time)
                .start();
    }

    private void tell(String engineId, long millis) {
        instances.get(0).away(engineId, millis);
        time.schedule(
                WORD_MILLIS,
                () -> instances
                        .subList(1, instances.size())
                        .forEach(each -> each.away(engineId, millis - WORD_MILLIS)));
    }

    private void play(long forMillis) {
        for (long played = 0; played < forMillis; played += CALL_GAP_MILLIS) {
            instances.get(random.nextInt(instances.size())).call();
            time.advanceMillis(CALL_GAP_MILLIS);
        }
    }

    private static Incarnation engine(int index, Stage stage) {
        return new Incarnation("e" + index, "s", "10.0.0.1", 80, "dc", 24, false, stage, 1);
    }

    private final class Instance {

        private final TargetHealth health = new TargetHealth(time::monotonicMillis);
        private final TargetDirectory directory = new TargetDirectory(health, NoRateLimits.create());
        private final LoadTracker loads = new LoadTracker();
        private final LeastLoadedChooser chooser = new LeastLoadedChooser(directory, loads, random);
        private long nextOffset;

        Instance() {
            for (int i = 0; i < 8; i++) {
                list(engine(i, i < 3 ? Stage.PREFILL : Stage.DECODE));
                if (i < 3) {
                    loads.replacePeerLoads("others" + i, Map.of("e" + i, waiting()));
                }
            }
        }

        private TargetLoad waiting() {
            return new TargetLoad(4, PrefillQueue.ofPrompt(0, 30_000));
        }

        void list(Incarnation engine) {
            directory.apply(engine.id(), nextOffset++, Optional.of(engine));
        }

        void away(String engineId, long millis) {
            if (millis > 0) {
                health.startStageChange(engineId, millis);
            } else {
                health.endStageChange(engineId);
            }
        }

        void call() {
            TargetQuery query = new TargetQuery(service, Optional.empty(), 1, 1_000, 0, Set.of(), true);
            Optional<ForwardingPlan> plan = chooser.choose(query);
            if (plan.isEmpty()) {
                withoutTargetCount++;
                return;
            }
            String id = plan.get().target().id();
            if (engines.busy(id)) {
                rejectedCount++;
                return;
            }
            loads.recordSend(id, 0, 0);
            time.schedule(RUN_MILLIS, () -> loads.recordEnd(id));
        }
    }

    private final class Engines extends SilentEngines {

        private OrderOutcome outcome = OrderOutcome.TAKEN;
        private long carriedOutAfterMillis;
        private long finishMillis = 1_000;
        private String changing = "";
        private long orderedAtMillis = -1;
        private boolean isChanging;
        private int changedCount;

        boolean busy(String engineId) {
            return isChanging && engineId.equals(changing);
        }

        @Override
        public CompletionStage<Optional<OrderState>> orderState(Incarnation engine) {
            boolean changed = changedCount > 0 && engine.id().equals(changing);
            Stage stage = changed ? Stage.PREFILL : engine.stage();
            return CompletableFuture.completedFuture(
                    Optional.of(new OrderState(stage, busy(engine.id()), changed ? 1 : 0)));
        }

        @Override
        public CompletionStage<OrderOutcome> order(Incarnation engine, StageOrder order) {
            changing = engine.id();
            orderedAtMillis = time.monotonicMillis();
            if (carriedOutAfterMillis == 0) {
                change(engine, order.stage());
            } else if (carriedOutAfterMillis < Long.MAX_VALUE) {
                time.schedule(carriedOutAfterMillis, () -> change(engine, order.stage()));
            }
            return CompletableFuture.completedFuture(outcome);
        }

        private void change(Incarnation engine, Stage stage) {
            isChanging = true;
            time.schedule(finishMillis + SWITCH_MILLIS, () -> {
                isChanging = false;
                changedCount++;
                Incarnation changed = engine(Integer.parseInt(engine.id().substring(1)), stage);
                time.schedule(
                        LIST_MILLIS,
                        () -> instances.forEach(each -> {
                            each.list(changed);
                            each.away(changed.id(), 0);
                        }));
            });
        }
    }
}
