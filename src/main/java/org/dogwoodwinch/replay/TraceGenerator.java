package org.dogwoodwinch.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Makes traces of the users' workloads from a seed: phases of a minute or two in which prompts or answers prevail, one
 * spike with a fixed start, drains, withdrawals and crashes.
 */
public final class TraceGenerator {

    private static final long SHORTEST_PHASE_MILLIS = 50_000;
    private static final int PHASE_SPREAD_MILLIS = 70_000;
    private static final double SPIKE_START = 0.5;
    private static final long SPIKE_MILLIS = 30_000;
    private static final double MAX_TOKENS_FACTOR = 1.25;
    private static final int PREFIXES = 12;
    private static final List<TraceFault.Kind> KINDS =
            List.of(TraceFault.Kind.CRASH, TraceFault.Kind.DRAIN, TraceFault.Kind.WITHDRAW);
    private static final long[] LAGS_MILLIS = {0, 1_000, 2_000, 5_000, 10_000};

    private final Deployment deployment;
    private final long seed;
    private final long durationMillis;
    private final double load;

    /**
     * Creates a generator.
     *
     * @param deployment whose workload, not null
     * @param seed the seed
     * @param durationMillis how long requests arrive, in milliseconds
     * @param load the factor on all arrival rates; one is the usual load
     */
    public TraceGenerator(Deployment deployment, long seed, long durationMillis, double load) {
        this.deployment = deployment;
        this.seed = seed;
        this.durationMillis = durationMillis;
        this.load = load;
    }

    /**
     * Makes the trace.
     *
     * @return the trace, the same for the same arguments
     */
    public Trace generate() {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<Long> shifts = shifts(random);
        List<TraceRequest> requests = new ArrayList<>();
        for (WorkloadPart part : deployment.parts()) {
            addArrivals(part, shifts, random, requests);
        }
        requests.sort(Comparator.comparingLong(TraceRequest::atMillis).thenComparing(TraceRequest::id));
        long lagMillis = LAGS_MILLIS[random.nextInt(LAGS_MILLIS.length)];
        TraceHeader header =
                new TraceHeader(deployment.label(), seed, durationMillis, lagMillis, 6, deployment.groups());
        return new Trace(header, requests, faults(random));
    }

    private List<Long> shifts(UniformRandomProvider random) {
        List<Long> shifts = new ArrayList<>();
        long atMillis = random.nextInt(PHASE_SPREAD_MILLIS);
        while (atMillis < durationMillis) {
            shifts.add(atMillis);
            atMillis += SHORTEST_PHASE_MILLIS + random.nextInt(PHASE_SPREAD_MILLIS);
        }
        return shifts;
    }

    private void addArrivals(
            WorkloadPart part, List<Long> shifts, UniformRandomProvider random, List<TraceRequest> requests) {
        double atMillis = 0;
        int number = 0;
        while (true) {
            double perMilli = load * rate(part, shifts, (long) atMillis) / 1_000;
            atMillis += -Math.log(1 - random.nextDouble()) / perMilli;
            if (atMillis >= durationMillis) {
                return;
            }
            requests.add(request(part, (long) atMillis, number++, random));
        }
    }

    private double rate(WorkloadPart part, List<Long> shifts, long atMillis) {
        long passed = shifts.stream().filter(shift -> shift <= atMillis).count();
        boolean outputHeavy = (passed + seed) % 2 == 1;
        double rate = outputHeavy ? part.perSecondOutputHeavy() : part.perSecond();
        long spikeMillis = (long) (durationMillis * SPIKE_START);
        boolean spike = atMillis >= spikeMillis && atMillis < spikeMillis + SPIKE_MILLIS;
        return spike ? rate + part.spikePerSecond() : rate;
    }

    private static TraceRequest request(WorkloadPart part, long atMillis, int number, UniformRandomProvider random) {
        int prompt = Math.max(part.prefixTokens() + 16, spread(part.promptTokens(), random));
        int output = Math.max(4, spread(part.outputTokens(), random));
        return new TraceRequest(
                atMillis,
                part.name() + "-" + number,
                part.group(),
                part.workClass(),
                part.repeatable(),
                prompt,
                output,
                (int) Math.ceil(output * MAX_TOKENS_FACTOR),
                part.name() + "/" + random.nextInt(PREFIXES),
                part.prefixTokens(),
                part.deadlineMillis());
    }

    private static int spread(int mean, UniformRandomProvider random) {
        return (int) (mean * (0.5 + random.nextDouble()));
    }

    private List<TraceFault> faults(UniformRandomProvider random) {
        List<TraceFault> faults = new ArrayList<>();
        for (TraceGroup group : deployment.groups()) {
            String engine = group.name() + "-" + random.nextInt(group.engines());
            long atMillis = (long) (durationMillis * (0.1 + 0.8 * random.nextDouble()));
            TraceFault.Kind kind = KINDS.get(random.nextInt(KINDS.size()));
            long durationOfFault = kind == TraceFault.Kind.CRASH ? 10_000 : 60_000;
            faults.add(new TraceFault(atMillis, engine, kind, durationOfFault));
        }
        faults.sort(Comparator.comparingLong(TraceFault::atMillis));
        return faults;
    }
}
