package org.dogwoodwinch.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the target with the fewest calls in flight per slot, with random tie-breaking. For a slow
 * target, the calls in flight and the new one count in addition by the excess of its time ratio over one. The load of a
 * target that fails calls is increased in proportion to its share of failures.
 */
public final class LeastLoadedChooser extends DirectoryTargetChooser {

    /**
     * The load of a target that fails all calls, as a multiple of its slots: it receives calls when all others have
     * that many calls waiting.
     */
    private static final double FAILURE_LOAD = 2;

    private final LoadTracker loads;
    private final UniformRandomProvider random;
    private final Function<Incarnation, TargetStanding> standings;

    /**
     * Creates a chooser that treats all targets as equal.
     *
     * @param directory the targets, not null
     * @param loads the calls in flight at the targets, not null
     * @param random breaks ties, so that the instances do not all begin with the same target, not null
     */
    public LeastLoadedChooser(TargetDirectory directory, LoadTracker loads, UniformRandomProvider random) {
        this(directory, loads, random, TargetStanding.ALL_EQUAL);
    }

    /**
     * Creates a chooser.
     *
     * @param directory the targets, not null
     * @param loads the calls in flight at the targets, not null
     * @param random breaks ties, so that the instances do not all begin with the same target, not null
     * @param standings returns how a target differs from the others, evaluated on each use, not null
     */
    public LeastLoadedChooser(
            TargetDirectory directory,
            LoadTracker loads,
            UniformRandomProvider random,
            Function<Incarnation, TargetStanding> standings) {
        super(directory);
        this.standings = Objects.requireNonNull(standings, "standings");
        this.loads = Objects.requireNonNull(loads, "loads");
        this.random = Objects.requireNonNull(random, "random");
    }

    @Override
    public Optional<ForwardingPlan> choose(TargetQuery query) {
        List<Incarnation> best = new ArrayList<>();
        double lowestLoad = Double.MAX_VALUE;
        for (Incarnation target : directory().readyTargets(query.service().name())) {
            if (query.triedTargetIds().contains(target.id())
                    || target.stage() == Stage.PREFILL
                    || !query.isVersionAllowed(target)
                    || !directory().hasCapacity(target)) {
                continue;
            }
            double load = load(target);
            if (load < lowestLoad) {
                lowestLoad = load;
                best.clear();
            }
            if (load == lowestLoad) {
                best.add(target);
            }
        }
        return best.isEmpty()
                ? Optional.empty()
                : Optional.of(new ForwardingPlan(
                        best.get(random.nextInt(best.size())), Optional.empty(), ForwardingPlan.PrefillWork.NONE));
    }

    private double load(Incarnation target) {
        int callsCount = loads.totalAt(target.id()).callsCount();
        double slotsCount = Math.max(1, target.slotsCount());
        TargetStanding standing = standings.apply(target);
        return callsCount / slotsCount
                + (standing.timeRatio() - 1) * (callsCount + 1) / slotsCount
                + FAILURE_LOAD * standing.failureShare();
    }
}
