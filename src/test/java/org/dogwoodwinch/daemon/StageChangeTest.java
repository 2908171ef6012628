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
import org.dogwoodwinch.forwarding.NoRests;
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
import org.dogwoodwinch.relay.StageOrder;
import org.dogwoodwinch.relay.UnresponsiveEngineControl;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

/** Load: six instances send calls continuously while one engine of eight is ordered to change its stage. */
class StageChangeTest {

    private static final long SWITCH_MILLIS = 3_000;
    private static final long CALL_INTERVAL_MILLIS = 20;
    private static final long CALL_DURATION_MILLIS = 400;
    private static final long NOTICE_DELAY_MILLIS = 300;
    private static final long LISTING_DELAY_MILLIS = 400;
    private static final int MAX_REJECTED_CALLS = 5;

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);
    private final ServiceEntry service =
            new ServiceEntry("s", 360, Optional.of(new EngineTraits(64, 400_000, 18_000, 370_000, 5_000, 3_000)));
    private final List<Instance> instances = new ArrayList<>();
    private final SimulatedEngines engines = new SimulatedEngines();
    private int rejectedCount;
    private int unroutedCount;

    /**
     * Until it has finished its running work and changed, the engine rejects all new calls and therefore looks idle.
     */
    @Test
    void engineWithLongRunningWorkReceivesNoCallsDuringChange() {
        engines.drainMillis = 5_000;
        start();

        simulate(12_000);

        assertEquals(1, engines.completedChangeCount);
        assertTrue(
                rejectedCount <= MAX_REJECTED_CALLS,
                rejectedCount + " calls were rejected, at most " + MAX_REJECTED_CALLS + " allowed");
        assertEquals(0, unroutedCount);
    }

    /** The order and its response are both lost, so the engine keeps its stage. */
    @Test
    void engineThatNeverReceivedOrderIsUsedAgain() {
        engines.outcome = OrderOutcome.UNKNOWN;
        engines.executionDelayMillis = Long.MAX_VALUE;
        start();

        simulate(6_000);

        instances.forEach(
                each -> assertEquals(8, each.directory.readyTargets("s").size()));
    }

    /** The response is lost, and the engine executes the order seconds later, when instances already use it again. */
    @Test
    void engineThatChangesLateReceivesFewCalls() {
        engines.outcome = OrderOutcome.UNKNOWN;
        engines.executionDelayMillis = 5_000;
        engines.drainMillis = 3_000;
        start();

        simulate(14_000);

        long detectionMillis = 2_500;
        long maxRejectedCount = detectionMillis / CALL_INTERVAL_MILLIS / 3;
        assertTrue(
                rejectedCount <= maxRejectedCount,
                rejectedCount + " calls were rejected, at most " + maxRejectedCount + " allowed");
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
                                () -> engines.completedChangeCount == 0 && engines.orderedAtMillis < 0,
                                (_record, end) -> CompletableFuture.completedFuture(new ConditionalLog.Written(end)),
                                engines,
                                this::publishStageChange),
                        new OrderLease(1_000, 5_000),
                        time)
                .start();
    }

    private void publishStageChange(String engineId, long millis) {
        instances.get(0).setStageChange(engineId, millis);
        time.schedule(
                NOTICE_DELAY_MILLIS,
                () -> instances
                        .subList(1, instances.size())
                        .forEach(each -> each.setStageChange(engineId, millis - NOTICE_DELAY_MILLIS)));
    }

    private void simulate(long durationMillis) {
        for (long elapsedMillis = 0; elapsedMillis < durationMillis; elapsedMillis += CALL_INTERVAL_MILLIS) {
            instances.get(random.nextInt(instances.size())).sendCall();
            time.advanceMillis(CALL_INTERVAL_MILLIS);
        }
    }

    private static Incarnation engine(int index, Stage stage) {
        return new Incarnation("e" + index, "s", "10.0.0.1", 80, "dc", 24, false, stage, 1);
    }

    private final class Instance {

        private final TargetHealth health = new TargetHealth(time::monotonicMillis);
        private final TargetDirectory directory = new TargetDirectory(health, NoRateLimits.create(), NoRests.create());
        private final LoadTracker loads = new LoadTracker();
        private final LeastLoadedChooser chooser = new LeastLoadedChooser(directory, loads, random);
        private long nextOffset;

        Instance() {
            for (int i = 0; i < 8; i++) {
                listEngine(engine(i, i < 3 ? Stage.PREFILL : Stage.DECODE));
                if (i < 3) {
                    loads.replacePeerLoads("others" + i, Map.of("e" + i, queuedLoad()));
                }
            }
        }

        private TargetLoad queuedLoad() {
            return new TargetLoad(4, PrefillQueue.ofPrompt(0, 30_000));
        }

        void listEngine(Incarnation engine) {
            directory.apply(engine.id(), nextOffset++, Optional.of(engine));
        }

        void setStageChange(String engineId, long millis) {
            if (millis > 0) {
                health.startStageChange(engineId, millis);
            } else {
                health.endStageChange(engineId);
            }
        }

        void sendCall() {
            TargetQuery query = new TargetQuery(service, Optional.empty(), 1, 1_000, 0, Set.of(), true);
            Optional<ForwardingPlan> plan = chooser.choose(query);
            if (plan.isEmpty()) {
                unroutedCount++;
                return;
            }
            String id = plan.get().target().id();
            if (engines.isChangingStage(id)) {
                rejectedCount++;
                return;
            }
            loads.recordSend(id, 0, 0);
            time.schedule(CALL_DURATION_MILLIS, () -> loads.recordEnd(id));
        }
    }

    private final class SimulatedEngines extends UnresponsiveEngineControl {

        private OrderOutcome outcome = OrderOutcome.TAKEN;
        private long executionDelayMillis;
        private long drainMillis = 1_000;
        private String orderedEngineId = "";
        private long orderedAtMillis = -1;
        private boolean isChanging;
        private int completedChangeCount;

        boolean isChangingStage(String engineId) {
            return isChanging && engineId.equals(orderedEngineId);
        }

        @Override
        public CompletionStage<Optional<OrderState>> orderState(Incarnation engine) {
            boolean changed = completedChangeCount > 0 && engine.id().equals(orderedEngineId);
            Stage stage = changed ? Stage.PREFILL : engine.stage();
            return CompletableFuture.completedFuture(
                    Optional.of(new OrderState(stage, isChangingStage(engine.id()), changed ? 1 : 0)));
        }

        @Override
        public CompletionStage<OrderOutcome> order(Incarnation engine, StageOrder order) {
            orderedEngineId = engine.id();
            orderedAtMillis = time.monotonicMillis();
            if (executionDelayMillis == 0) {
                startChange(engine, order.stage());
            } else if (executionDelayMillis < Long.MAX_VALUE) {
                time.schedule(executionDelayMillis, () -> startChange(engine, order.stage()));
            }
            return CompletableFuture.completedFuture(outcome);
        }

        private void startChange(Incarnation engine, Stage stage) {
            isChanging = true;
            time.schedule(drainMillis + SWITCH_MILLIS, () -> {
                isChanging = false;
                completedChangeCount++;
                Incarnation changed = engine(Integer.parseInt(engine.id().substring(1)), stage);
                time.schedule(
                        LISTING_DELAY_MILLIS,
                        () -> instances.forEach(each -> {
                            each.listEngine(changed);
                            each.setStageChange(changed.id(), 0);
                        }));
            });
        }
    }
}
