package org.dogwoodwinch.fault;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Makes schedules from seeds: the same seed, subjects and times give the same schedule. */
public final class FaultScheduleGenerator {

    private final FaultSubjects subjects;
    private final long horizonMillis;
    private final long maxDurationMillis;

    /**
     * Creates a generator.
     *
     * @param subjects whom faults may befall, not null
     * @param horizonMillis every fault begins before this, in milliseconds, more than zero
     * @param maxDurationMillis the longest fault, in milliseconds, more than zero
     */
    public FaultScheduleGenerator(FaultSubjects subjects, long horizonMillis, long maxDurationMillis) {
        this.subjects = Objects.requireNonNull(subjects, "subjects");
        this.horizonMillis = horizonMillis;
        this.maxDurationMillis = maxDurationMillis;
    }

    /**
     * Makes one schedule of faults of any kinds.
     *
     * @param seed the seed
     * @param count how many faults
     * @return the schedule
     */
    public FaultSchedule random(long seed, int count) {
        UniformRandomProvider random = random(seed);
        FaultKind[] kinds = FaultKind.values();
        List<Fault> faults = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            faults.add(fault(random, kinds[random.nextInt(kinds.length)], random.nextLong(horizonMillis)));
        }
        return new FaultSchedule(seed, faults);
    }

    /**
     * Makes one schedule for each of the kinds.
     *
     * @param seed the seed of the first; the others count up from it
     * @param kinds the kinds, not null
     * @return the schedules, one fault each
     */
    public List<FaultSchedule> singles(long seed, List<FaultKind> kinds) {
        List<FaultSchedule> schedules = new ArrayList<>();
        for (FaultKind kind : kinds) {
            long own = seed + schedules.size();
            UniformRandomProvider random = random(own);
            schedules.add(new FaultSchedule(own, List.of(fault(random, kind, random.nextLong(horizonMillis)))));
        }
        return schedules;
    }

    /**
     * Makes one schedule for each pair of the kinds, a kind with itself included; the second fault begins while the
     * first lasts, because faults that overlap are the ones whose safeguards may rely on each other.
     *
     * @param seed the seed of the first; the others count up from it
     * @param kinds the kinds, not null
     * @return the schedules, two overlapping faults each
     */
    public List<FaultSchedule> pairs(long seed, List<FaultKind> kinds) {
        List<FaultSchedule> schedules = new ArrayList<>();
        for (int i = 0; i < kinds.size(); i++) {
            for (int j = i; j < kinds.size(); j++) {
                schedules.add(pair(seed + schedules.size(), kinds.get(i), kinds.get(j)));
            }
        }
        return schedules;
    }

    private FaultSchedule pair(long seed, FaultKind firstKind, FaultKind secondKind) {
        UniformRandomProvider random = random(seed);
        Fault first = fault(random, firstKind, random.nextLong(horizonMillis));
        long offsetMillis = random.nextLong(first.durationMillis());
        Fault second = fault(random, secondKind, first.startMillis() + offsetMillis);
        return new FaultSchedule(seed, List.of(first, second));
    }

    private Fault fault(UniformRandomProvider random, FaultKind kind, long startMillis) {
        List<String> names = subjects.of(kind);
        long durationMillis = 1 + random.nextLong(maxDurationMillis);
        return new Fault(kind, names.get(random.nextInt(names.size())), startMillis, durationMillis);
    }

    private static UniformRandomProvider random(long seed) {
        return RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }
}
