package org.dogwoodwinch.queueing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.forwarding.EngineTraits;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.Prompt;
import org.dogwoodwinch.forwarding.QueueLevel;
import org.dogwoodwinch.forwarding.RateLimitShares;
import org.dogwoodwinch.forwarding.ServiceEntry;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.dogwoodwinch.forwarding.TargetQuery;
import org.dogwoodwinch.forwarding.TargetRateLimits;
import org.dogwoodwinch.forwarding.TargetRests;

/**
 * Instances with one queue each in front of shared engines, in steps of one millisecond. Engines prefill one prompt at a
 * time in the order of queue levels; loads of other instances are known one to two rounds late.
 */
final class QueueFleet {

    static final long ROUND_MILLIS = 150;
    static final long TICK_MILLIS = 25;

    /** Maximum part of the remaining time for which a refused caller waits before it returns. */
    private static final int RETRY_DIVISOR = 3;

    /** A class of calls. {@code inputTokens} counts as work, {@code ownTokens} have to be prefilled. */
    record CallClass(
            String name,
            int priority,
            double perSecond,
            int inputTokens,
            int ownTokens,
            int outputTokens,
            long objectiveMillis,
            long deadlineMillis,
            double value,
            double lateValue) {

        CallClass withPriority(int otherPriority) {
            return new CallClass(
                    name,
                    otherPriority,
                    perSecond,
                    inputTokens,
                    ownTokens,
                    outputTokens,
                    objectiveMillis,
                    deadlineMillis,
                    value,
                    lateValue);
        }
    }

    /** A call of a caller, from its arrival to its first event or its end without one. */
    static final class Call {
        final CallClass callClass;
        final String owner;
        final long arrivalMillis;
        long firstEventMillis = -1;
        long heldUntilMillis;
        int refusalsCount;
        int returnsCount;
        boolean isTold;
        boolean refusedWhileFree;

        Call(CallClass callClass, String owner, long arrivalMillis) {
            this.callClass = callClass;
            this.owner = owner;
            this.arrivalMillis = arrivalMillis;
        }

        boolean isServed() {
            return firstEventMillis >= 0 && firstEventMillis <= arrivalMillis + callClass.deadlineMillis;
        }

        boolean isOnTime() {
            return firstEventMillis >= 0 && firstEventMillis <= arrivalMillis + callClass.objectiveMillis;
        }

        double value() {
            return isOnTime() ? callClass.value : isServed() ? callClass.lateValue : 0;
        }

        long deadlineMillis() {
            return callClass.deadlineMillis;
        }
    }

    private final List<Engine> engines = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private final Map<Long, List<Runnable>> returns = new HashMap<>();
    private final UniformRandomProvider random;
    private final TargetDirectory directory;
    private final double tokensPerMilli;
    final List<Call> calls = new ArrayList<>();
    final long startMillis = 1_000;
    private long nowMillis = startMillis;
    private long nextId;

    QueueFleet(int instancesCount, int enginesCount, double tokensPerMilli, long seed) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.tokensPerMilli = tokensPerMilli;
        TargetRateLimits limits = new TargetRateLimits(
                () -> nowMillis, new RateLimitShares("i0", () -> Optional.of(Set.of("i0")), () -> nowMillis));
        this.directory = new TargetDirectory(
                new TargetHealth(() -> nowMillis), limits, new TargetRests(() -> nowMillis, random));
        for (int i = 0; i < enginesCount; i++) {
            String id = "e" + i;
            engines.add(new Engine(id));
            directory.apply(
                    id, i, Optional.of(new Incarnation(id, "s", "10.0.0.1", 80, "a", 64, false, Stage.WHOLE, 1)));
        }
        for (int i = 0; i < instancesCount; i++) {
            instances.add(new Instance(i));
        }
    }

    /** Lets calls of a class arrive at random instances for some time, with owners by their weights. */
    void run(List<CallClass> classes, Map<String, Double> ownerWeights, double demandRatio, long durationMillis) {
        List<String> owners = List.copyOf(ownerWeights.keySet());
        double totalWeight =
                ownerWeights.values().stream().mapToDouble(Double::doubleValue).sum();
        long endMillis = nowMillis + durationMillis;
        while (nowMillis < endMillis) {
            for (CallClass each : classes) {
                double expected = each.perSecond * demandRatio / 1_000;
                while (expected > 0 && random.nextDouble() < Math.min(1, expected)) {
                    arrive(each, ownerOf(owners, ownerWeights, totalWeight));
                    expected -= 1;
                }
            }
            step();
        }
        for (int i = 0; i < 8_000; i++) {
            step();
        }
    }

    private String ownerOf(List<String> owners, Map<String, Double> weights, double totalWeight) {
        double drawn = random.nextDouble() * totalWeight;
        for (String owner : owners) {
            drawn -= weights.get(owner);
            if (drawn < 0) {
                return owner;
            }
        }
        return owners.get(owners.size() - 1);
    }

    private void arrive(CallClass callClass, String owner) {
        Call call = new Call(callClass, owner, nowMillis);
        calls.add(call);
        instances.get(random.nextInt(instances.size())).handle(call, false);
    }

    private void step() {
        nowMillis++;
        Optional.ofNullable(returns.remove(nowMillis)).ifPresent(due -> due.forEach(Runnable::run));
        engines.forEach(Engine::step);
        if (nowMillis % ROUND_MILLIS == 0) {
            exchangeLoads();
        }
        instances.forEach(Instance::step);
    }

    /** Gives each instance the loads of the others as they were one round before. */
    private void exchangeLoads() {
        instances.forEach(Instance::publish);
        Map<String, TargetLoad> all = new HashMap<>();
        instances.forEach(each -> each.previous.forEach((id, load) -> all.merge(id, load, TargetLoad::plus)));
        instances.forEach(each -> {
            Map<String, TargetLoad> others = new HashMap<>(all);
            each.previous.forEach((id, load) -> others.merge(id, load, TargetLoad::minus));
            each.loads.replacePeerLoads("others", others);
        });
    }

    /** A prompt at an engine. */
    private record Job(Call call, Instance sender, int level, int tokens, long sentMillis) {}

    private final class Engine {
        private final String id;
        private final List<Deque<Job>> levels = new ArrayList<>();
        private Job running;
        private double leftTokens;

        Engine(String id) {
            this.id = id;
            for (int i = 0; i < QueueLevel.COUNT; i++) {
                levels.add(new ArrayDeque<>());
            }
        }

        void step() {
            double budget = tokensPerMilli;
            while (budget > 0) {
                if (running == null) {
                    running = levels.stream()
                            .filter(level -> !level.isEmpty())
                            .findFirst()
                            .map(Deque::poll)
                            .orElse(null);
                    if (running == null) {
                        return;
                    }
                    leftTokens = running.tokens;
                }
                double done = Math.min(budget, leftTokens);
                leftTokens -= done;
                budget -= done;
                if (leftTokens <= 0) {
                    Job ended = running;
                    running = null;
                    ended.sender.finish(this, ended);
                }
            }
        }
    }

    private final class Instance {
        private final int index;
        private final LoadTracker loads = new LoadTracker();
        private final OwnerShares shares = new OwnerShares();
        private final FairQueue queue = new FairQueue(_owner -> 1, shares);
        private final ReleasePacer pacer = new ReleasePacer();
        private final ServiceTimes times = new ServiceTimes();
        private final RetrySchedule schedule;
        private final RoomEstimator room;
        private final Map<Long, Call> waiting = new HashMap<>();
        private Map<String, TargetLoad> current = Map.of();
        private Map<String, TargetLoad> previous = Map.of();

        Instance(int index) {
            this.index = index;
            this.schedule = new RetrySchedule(random);
            // An engine that decodes too is assumed to prefill at half of the initial rate.
            this.room = new RoomEstimator(
                    directory, loads, new PrefillRates(2 * tokensPerMilli), RoomEstimator.UPDATE_HORIZON_MILLIS);
        }

        void publish() {
            previous = current;
            current = loads.ownLoads();
        }

        void handle(Call call, boolean isReturning) {
            if (queue.isEmpty() && roomFor(call, call.callClass.priority).capacity() == Capacity.AVAILABLE) {
                send(call);
                return;
            }
            long deadlineMillis = call.arrivalMillis + call.callClass.deadlineMillis;
            long objectiveMillis = call.arrivalMillis + call.callClass.objectiveMillis;
            WaitingCall offered = new WaitingCall(
                    nextId++,
                    call.owner,
                    call.callClass.priority,
                    WaitingCall.workOf(call.callClass.inputTokens, call.callClass.outputTokens),
                    objectiveMillis - times.firstEventMillis(call.callClass.name),
                    deadlineMillis - times.completionMillis(call.callClass.name),
                    isReturning);
            if (queue.offer(offered, nowMillis) instanceof OfferOutcome.Refused) {
                refuse(call, offered);
            } else {
                waiting.put(offered.id(), call);
                returns.computeIfAbsent(deadlineMillis, _at -> new ArrayList<>())
                        .add(() -> leave(offered));
                release();
            }
        }

        private long workOf(CallClass callClass) {
            return WaitingCall.workOf(callClass.inputTokens, callClass.outputTokens);
        }

        /** Answers a call that still waits at its deadline, as the timer of the call does. */
        private void leave(WaitingCall offered) {
            if (queue.remove(offered, nowMillis)) {
                refuse(waiting.remove(offered.id()), offered);
            }
        }

        void step() {
            if (!queue.isEmpty() && (nowMillis + index) % TICK_MILLIS == 0) {
                release();
            }
        }

        private void refuse(Call call, WaitingCall offered) {
            call.refusalsCount++;
            call.heldUntilMillis = nowMillis;
            long retryMillis = schedule.reserve(offered, queue.workPerMilli(offered.priority(), nowMillis), nowMillis);
            call.isTold = retryMillis > 0;
            call.refusedWhileFree |=
                    roomFor(call, call.callClass.priority).capacity() == Capacity.AVAILABLE && waiting.isEmpty();
            long remainingMillis = call.arrivalMillis + call.callClass.deadlineMillis - nowMillis;
            if (retryMillis <= remainingMillis / RETRY_DIVISOR) {
                returns.computeIfAbsent(nowMillis + retryMillis, _at -> new ArrayList<>())
                        .add(() -> {
                            call.returnsCount++;
                            call.isTold = false;
                            handle(call, true);
                        });
            }
        }

        private void release() {
            if (queue.size() > 1) {
                removeUnmeetable();
            }
            while (!queue.isEmpty()) {
                QueueTurn turn = queue.next(nowMillis).orElseThrow();
                boolean isLast = queue.size() == 1 && turn.call().latestReleaseMillis() <= nowMillis + TICK_MILLIS;
                Room free = roomFor(waiting.get(turn.call().id()), turn.capacityPriority());
                if (free.capacity() != Capacity.AVAILABLE
                        || (turn.capacityPriority() > 0
                                && !isLast
                                && !pacer.mayRelease(
                                        free, RoomEstimator.TURNOVER_MILLIS, instances.size(), nowMillis))) {
                    break;
                }
                if (turn.capacityPriority() > 0) {
                    pacer.recordRelease(waiting.get(turn.call().id()).callClass.ownTokens);
                }
                queue.poll(nowMillis);
                send(waiting.remove(turn.call().id()));
            }
            removeUnmeetable();
        }

        private void removeUnmeetable() {
            queue.removeUnmeetable(nowMillis)
                    .forEach(each -> refuse(waiting.remove(each.call().id()), each.call()));
        }

        private Room roomFor(Call call, int priority) {
            CallClass callClass = call.callClass;
            TargetQuery query = new TargetQuery(
                    new ServiceEntry("s", 100, Optional.of(new EngineTraits(64, 400_000, 18_000, 370_000, 5_000, 0))),
                    Optional.of(new Prompt("m", callClass.inputTokens, callClass.outputTokens, List.of())),
                    priority,
                    callClass.objectiveMillis,
                    0,
                    Set.of(),
                    true);
            return room.estimate(query, UnsentWork.NONE, call.owner, shares, nowMillis);
        }

        private void send(Call call) {
            call.heldUntilMillis = nowMillis;
            shares.recordRelease(call.owner, workOf(call.callClass), nowMillis);
            int level = QueueLevel.onTime(call.callClass.priority);
            // Affinity spreads calls in the fleet; if all instances took the same engine, it alone would get all calls.
            Engine best = engines.get(random.nextInt(engines.size()));
            Engine other = engines.get(random.nextInt(engines.size()));
            if (aheadTokens(other, level) < aheadTokens(best, level)) {
                best = other;
            }
            loads.recordSend(best.id, level, call.callClass.ownTokens);
            best.levels.get(level).add(new Job(call, this, level, call.callClass.ownTokens, nowMillis));
        }

        private long aheadTokens(Engine engine, int level) {
            return loads.totalAt(engine.id).prefillQueue().tokensAheadOf(level);
        }

        private void finish(Engine engine, Job job) {
            loads.recordPrefill(engine.id, job.level, job.tokens);
            loads.recordEnd(engine.id);
            job.call.firstEventMillis = nowMillis;
            times.recordFirstEvent(job.call.callClass.name, nowMillis - job.sentMillis);
            times.recordCompletion(job.call.callClass.name, nowMillis - job.sentMillis);
            release();
        }
    }
}
