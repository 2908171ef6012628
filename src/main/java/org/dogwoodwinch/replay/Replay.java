package org.dogwoodwinch.replay;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.roles.DemandMeter;
import org.dogwoodwinch.roles.GoodputModel;
import org.dogwoodwinch.roles.RolePlanner;
import org.dogwoodwinch.roles.RolePlanningStrategy;
import org.dogwoodwinch.standin.EngineCost;
import org.dogwoodwinch.time.TimeSource;
import org.dogwoodwinch.time.VirtualTimeSource;

/** Replays one trace under one policy in virtual time. */
public final class Replay {

    private static final long TAIL_MILLIS = 30_000;
    private static final long PLAN_MILLIS = 1_000;
    private static final long DEMAND_LAG_MILLIS = 500;
    private static final double EXPECTED_OUTPUT_PART = 0.8;
    private static final long WALL_START_MILLIS = 1_000_000_000L;

    private final Trace trace;
    private final ReplayPolicy policy;
    private final VirtualTimeSource time = new VirtualTimeSource(WALL_START_MILLIS);
    private final ReplayWorld world;
    private final ReplayFleet engines;
    private final List<ReplayInstance> instances = new ArrayList<>();
    private final DemandMeter demand = new DemandMeter(time);

    /**
     * Prepares a replay; it runs once.
     *
     * @param trace the trace, not null
     * @param policy the policy, not null
     */
    public Replay(Trace trace, ReplayPolicy policy) {
        this.trace = trace;
        this.policy = policy;
        this.world = new ReplayWorld(time, new ReplayBoard(time), new ReplayTally(endMillis()));
        this.engines = new ReplayFleet(trace.header(), policy.roles(), time);
        for (int i = 0; i < trace.header().instances(); i++) {
            ReplayInstance instance = new ReplayInstance(i, trace.header(), policy, engines, world);
            instances.add(instance);
            engines.join(instance);
        }
    }

    /**
     * Runs the replay.
     *
     * @return what it came to
     */
    public ReplayResult run() {
        trace.faults().forEach(fault -> time.schedule(fault.atMillis(), () -> engines.befall(fault)));
        scheduleArrival(0);
        RolePlanningStrategy planning = planning(time);
        time.schedule(PLAN_MILLIS, () -> planAndRepeat(planning));
        time.advanceMillis(endMillis());
        return result();
    }

    private long endMillis() {
        return trace.header().durationMillis() + TAIL_MILLIS;
    }

    /** One arrival schedules the next, so that the timers stay few. */
    private void scheduleArrival(int index) {
        if (index < trace.requests().size()) {
            TraceRequest request = trace.requests().get(index);
            time.schedule(request.atMillis() - time.monotonicMillis(), () -> {
                scheduleArrival(index + 1);
                arrive(request, index);
            });
        }
    }

    private void arrive(TraceRequest request, int index) {
        // The balancer in front spreads requests without regard to what they are.
        ReplayInstance instance = instances.get(Math.floorMod(index * 31 + 7, instances.size()));
        time.schedule(
                DEMAND_LAG_MILLIS,
                () -> demand.recordArrivals(
                        request.group(),
                        request.workClass(),
                        1,
                        request.promptTokens(),
                        request.maxTokens() * EXPECTED_OUTPUT_PART,
                        (double) request.deadlineMillis()));
        new ReplayRequest(request, instance, engines, world).start();
    }

    private RolePlanningStrategy planning(TimeSource clock) {
        return switch (policy.roles()) {
            case PLANNED -> new RolePlanner(policy.planSettings(), demand, engines, clock);
            case GREEDY ->
                new GreedyRolePlanning(new GoodputModel(policy.planSettings().speed()), demand, engines);
            case MIXED, SPLIT -> (_group, _engines) -> {};
        };
    }

    private void planAndRepeat(RolePlanningStrategy planning) {
        trace.header().groups().forEach(group -> planning.plan(group.name(), engines.views(group.name())));
        time.schedule(PLAN_MILLIS, () -> planAndRepeat(planning));
    }

    private ReplayResult result() {
        ReplayTally tally = world.tally();
        double seconds = trace.header().durationMillis() / 1_000.0;
        int urgent = tally.good(WorkClass.URGENT);
        int longReads = tally.good(WorkClass.LONG_READ);
        int good = urgent + longReads + tally.good(WorkClass.STANDARD);
        List<Integer> bins = new ArrayList<>();
        for (int bin : tally.goodByBin()) {
            bins.add(bin);
        }
        return new ReplayResult(
                policy.name(),
                trace.requests().size(),
                good,
                urgent,
                longReads,
                good / seconds,
                new HindsightBound(EngineCost.STANDARD, endMillis()).good(trace) / seconds,
                tally.refused(),
                tally.late(),
                tally.failed(),
                tally.firstTokenP95Millis(),
                tally.betweenTokensP95Millis(),
                tally.prefixHitShare(),
                engines.roleChangesMillis(),
                bins);
    }
}
