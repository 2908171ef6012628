package org.dogwoodwinch.forwarding;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Targets of one service before 60 instances, each of which calls a given target once in about 15 s. The instances know
 * the load of all targets at once, and exchange reports in rounds as the daemon does.
 */
final class SimulatedTargets {

    static final long OBJECTIVE_MILLIS = 450;

    private static final ServiceEntry SERVICE = new ServiceEntry("s", 360, Optional.empty());
    private static final int INSTANCES_COUNT = 60;
    private static final int SLOTS_COUNT = 2;
    private static final double RUN_MILLIS = 200;
    private static final double FAILURE_MILLIS = 5;
    private static final long ROUND_MILLIS = 250;
    private static final long REPORT_DELAY_MILLIS = 300;
    private static final double REPORTS_PER_ROUND = 40.0 / INSTANCES_COUNT * ROUND_MILLIS / 1_000;

    final List<SimulatedTarget> targets = new ArrayList<>();
    final List<TargetPerformance> instances = new ArrayList<>();
    long nowMillis;
    int inTimeCount;
    int callsCount;

    private final TargetDirectory directory =
            new TargetDirectory(new TargetHealth(() -> 0), NoRateLimits.create(), NoRests.create());
    private final LoadTracker loads = new LoadTracker();
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private final List<LeastLoadedChooser> choosers = new ArrayList<>();
    private final double[] allowedReports = new double[INSTANCES_COUNT];
    private final double callsPerTargetPerSecond;
    private long eventsCount;

    /** Creates targets of equal speed. With {@code knowsSpeeds}, the instances know what the targets do. */
    SimulatedTargets(int count, double callsPerTargetPerSecond, boolean knowsSpeeds) {
        this.callsPerTargetPerSecond = callsPerTargetPerSecond;
        for (int i = 0; i < count; i++) {
            Incarnation listed =
                    new Incarnation("t" + i, "s", "10.0.0.1", 80, "dc", SLOTS_COUNT, false, Stage.WHOLE, 0, 1_000 + i);
            directory.apply(listed.id(), i, Optional.of(listed));
            targets.add(new SimulatedTarget(listed));
        }
        for (int i = 0; i < INSTANCES_COUNT; i++) {
            TargetPerformance performance = new TargetPerformance(
                    service -> directory.readyTargets(service).size());
            Function<Incarnation, TargetStanding> standings = knowsSpeeds
                    ? target -> targets.get(Integer.parseInt(target.id().substring(1)))
                            .standing()
                    : target -> performance.standing(target, nowMillis);
            instances.add(performance);
            choosers.add(new LeastLoadedChooser(directory, loads, random, standings));
        }
        schedule(0, this::arrive);
        schedule(0, this::exchangeReports);
    }

    void run(long untilMillis) {
        while (events.peek().atMillis < untilMillis) {
            Event event = events.poll();
            nowMillis = event.atMillis;
            event.action.run();
        }
        nowMillis = untilMillis;
    }

    double inTimeShare() {
        return inTimeCount / (double) callsCount;
    }

    /** Makes a target slow for 600 ms at a time, 0.15 of the time. */
    void slowAtTimes(SimulatedTarget target, double ratio) {
        schedule(nowMillis + random.nextInt(4_000), () -> slowOnce(target, ratio));
    }

    private void slowOnce(SimulatedTarget target, double ratio) {
        target.timeRatio = ratio;
        schedule(nowMillis + 600, () -> target.timeRatio = 1);
        schedule(nowMillis + 2_000 + random.nextInt(4_000), () -> slowOnce(target, ratio));
    }

    private void schedule(long atMillis, Runnable action) {
        events.add(new Event(atMillis, eventsCount++, action));
    }

    private void arrive() {
        double meanMillis = 1_000 / (callsPerTargetPerSecond * targets.size());
        schedule(nowMillis + Math.round(-Math.log(1 - random.nextDouble()) * meanMillis), this::arrive);
        int caller = random.nextInt(INSTANCES_COUNT);
        TargetQuery query = new TargetQuery(SERVICE, Optional.empty(), 0, 450, 0, Set.of(), false);
        Incarnation chosen = choosers.get(caller).choose(query).orElseThrow().target();
        targets.get(Integer.parseInt(chosen.id().substring(1))).receive(instances.get(caller));
    }

    private void exchangeReports() {
        schedule(nowMillis + ROUND_MILLIS, this::exchangeReports);
        for (int i = 0; i < INSTANCES_COUNT; i++) {
            TargetPerformance from = instances.get(i);
            double allowed = allowedReports[i] + REPORTS_PER_ROUND;
            List<PerformanceReport> reports = from.takeReports((int) allowed, nowMillis);
            allowedReports[i] = Math.min(1, allowed - reports.size());
            reports.forEach(report -> schedule(nowMillis + REPORT_DELAY_MILLIS, () -> deliver(from, report)));
        }
    }

    private void deliver(TargetPerformance from, PerformanceReport report) {
        PerformanceReport delayed = new PerformanceReport(
                report.targetId(),
                report.startedMillis(),
                report.logRatioSum(),
                report.timesWeight(),
                report.failuresWeight(),
                report.spanMillis(),
                report.ageMillis() + REPORT_DELAY_MILLIS);
        Incarnation current = directory.find(report.targetId()).orElseThrow();
        instances.stream().filter(to -> to != from).forEach(to -> to.addReport(current, delayed, nowMillis));
    }

    private record Event(long atMillis, long number, Runnable action) {}

    private record Call(TargetPerformance caller, long sentMillis, double work) {}

    final class SimulatedTarget {
        final Incarnation listed;
        double timeRatio = 1;
        boolean isFailing;
        int receivedCount;
        private final Deque<Call> waiting = new ArrayDeque<>();
        private int runningCount;

        SimulatedTarget(Incarnation listed) {
            this.listed = listed;
        }

        TargetStanding standing() {
            return new TargetStanding(timeRatio, isFailing ? 1 : 0);
        }

        private void receive(TargetPerformance caller) {
            callsCount++;
            receivedCount++;
            double runs = (loads.totalAt(listed.id()).callsCount() + 1.0) / SLOTS_COUNT;
            loads.recordSend(listed.id(), 0, 0);
            waiting.add(new Call(caller, nowMillis, Math.max(1, runs)));
            startNext();
        }

        private void startNext() {
            if (runningCount < SLOTS_COUNT && !waiting.isEmpty()) {
                Call call = waiting.poll();
                runningCount++;
                double runMillis = RUN_MILLIS * timeRatio * (0.8 + 0.4 * random.nextDouble());
                boolean fails = isFailing;
                schedule(nowMillis + Math.round(fails ? FAILURE_MILLIS : runMillis), () -> end(call, fails));
            }
        }

        private void end(Call call, boolean failed) {
            runningCount--;
            loads.recordEnd(listed.id());
            long millis = nowMillis - call.sentMillis;
            if (failed) {
                call.caller.recordFailure(listed, true, nowMillis);
            } else {
                call.caller.recordTime(listed, WorkKind.PLAIN, millis / call.work, nowMillis);
                inTimeCount += millis <= OBJECTIVE_MILLIS ? 1 : 0;
            }
            startNext();
        }
    }
}
