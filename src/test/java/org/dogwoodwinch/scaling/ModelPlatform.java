package org.dogwoodwinch.scaling;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.PrefillQueue;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetLoad;

/** A platform without a network: boots, removes and reclaims engines, and calls a planner in each step. */
final class ModelPlatform {

    static final long STEP_MILLIS = 250;

    /** So long that the overhead of a prompt is not seen: an engine of the model prefills for as long as it has one. */
    static final long PROMPT_TOKENS = 9_000_000;

    static final long BOOT_MILLIS = 4_000;
    static final ScalingLimits LIMITS = new ScalingLimits(
            1, 32, BOOT_MILLIS, OptionalDouble.of(0.22), Map.of("a", 1.0, "b", 0.8, "c", 0.9, "d", 1.1));

    final List<Engine> engines = new ArrayList<>();
    final List<ScalePlan> plans = new ArrayList<>();
    final List<Long> planMillis = new ArrayList<>();
    ScalePlanner planner = createPlanner();
    ScalingLimits limits = LIMITS;
    ScalePlan lastPlan = ScalePlan.NONE;
    Consumer<List<Engine>> load = _ready -> {};
    final Set<EnginePool> unavailablePools = new HashSet<>();
    long spotUnavailableUntilMillis;
    long nowMillis;
    long engineMillis;
    private final Map<EnginePool, Long> refusedUntilMillis = new HashMap<>();
    private int enginesCreated;

    /** One engine; it is ready from a time on. */
    static final class Engine {
        final Incarnation incarnation;
        final EnginePool pool;
        final long readyMillis;
        final Deque<Double> promptsMillis = new ArrayDeque<>();

        Engine(int number, EnginePool pool, long readyMillis) {
            this.incarnation =
                    new Incarnation("e" + number, "s", "10.0.0.1", 80, pool.dataCentre(), 128, false, Stage.PREFILL, 1);
            this.pool = pool;
            this.readyMillis = readyMillis;
        }
    }

    static ScalePlanner createPlanner() {
        return new ScalePlanner(new PrefillRates(30));
    }

    /** Creates a platform with on-demand engines that are ready. */
    ModelPlatform(int countInDataCentre, String... dataCentres) {
        for (String dataCentre : dataCentres) {
            add(new EnginePool(dataCentre, EngineKind.ON_DEMAND), countInDataCentre, 0);
        }
    }

    private void add(EnginePool pool, int count, long readyMillis) {
        for (int i = 0; i < count; i++) {
            engines.add(new Engine(enginesCreated++, pool, readyMillis));
        }
    }

    /** Makes a number of engines busy in each step. */
    void setBusy(int count) {
        load = ready -> {
            ready.forEach(engine -> engine.promptsMillis.clear());
            for (int i = 0; i < count; i++) {
                ready.get(i % ready.size()).promptsMillis.add(1.0);
            }
        };
    }

    void runFor(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; nowMillis += STEP_MILLIS) {
            step();
        }
    }

    Optional<ScalePlan> step() {
        load.accept(ready());
        engineMillis += engines.size() * STEP_MILLIS;
        Map<String, Engine> byId = new HashMap<>();
        Map<EnginePool, Integer> readyCounts = new HashMap<>();
        for (Engine engine : ready()) {
            byId.put(engine.incarnation.id(), engine);
            readyCounts.merge(engine.pool, 1, Integer::sum);
        }
        ScaleObservation observed = new ScaleObservation(
                ready().stream().map(engine -> engine.incarnation).toList(),
                id -> {
                    int prompts = byId.get(id).promptsMillis.size();
                    return new TargetLoad(prompts, PrefillQueue.EMPTY.plusPrompts(0, prompts * PROMPT_TOKENS, prompts));
                },
                lastPlan,
                readyCounts,
                refusedUntilMillis);
        Optional<ScalePlan> plan = planner.plan(observed, limits, nowMillis);
        plan.ifPresent(ordered -> {
            lastPlan = ordered;
            plans.add(ordered);
            planMillis.add(nowMillis);
        });
        lastPlan.desiredCounts().forEach(this::order);
        return plan;
    }

    private void order(EnginePool pool, int desired) {
        int missing = desired - count(pool);
        if (missing > 0 && nowMillis >= refusedUntilMillis.getOrDefault(pool, 0L)) {
            boolean isSpotMissing = pool.kind() == EngineKind.SPOT && nowMillis < spotUnavailableUntilMillis;
            if (isSpotMissing || unavailablePools.contains(pool)) {
                refusedUntilMillis.put(pool, nowMillis + 2_000);
            } else {
                add(pool, missing, nowMillis + BOOT_MILLIS);
            }
        }
        for (int i = engines.size() - 1; i >= 0 && missing < 0; i--) {
            if (engines.get(i).pool.equals(pool)) {
                engines.remove(i);
                missing++;
            }
        }
    }

    /** Takes all spot engines of the data centre that has most of them. */
    int reclaimWorst(long unavailableMillis) {
        spotUnavailableUntilMillis = nowMillis + unavailableMillis;
        int before = engines.size();
        LIMITS.priceByDataCentre().keySet().stream()
                .map(dataCentre -> new EnginePool(dataCentre, EngineKind.SPOT))
                .max((one, other) -> Integer.compare(count(one), count(other)))
                .ifPresent(pool -> engines.removeIf(engine -> engine.pool.equals(pool)));
        return before - engines.size();
    }

    List<Engine> ready() {
        return engines.stream()
                .filter(engine -> nowMillis >= engine.readyMillis)
                .toList();
    }

    int count(EnginePool pool) {
        return (int) engines.stream().filter(engine -> engine.pool.equals(pool)).count();
    }

    int count(EngineKind kind) {
        return (int)
                engines.stream().filter(engine -> engine.pool.kind() == kind).count();
    }

    int count(String dataCentre) {
        return (int) engines.stream()
                .filter(engine -> engine.pool.dataCentre().equals(dataCentre))
                .count();
    }
}
