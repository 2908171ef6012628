package org.dogwoodwinch.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/** Chooses the target with the fewest calls in flight per slot, with random tie-breaking. */
public final class LeastLoadedChooser implements TargetChooser {

    private final TargetDirectory directory;
    private final LoadTracker loads;
    private final UniformRandomProvider random;

    /**
     * Creates a chooser.
     *
     * @param directory the targets, not null
     * @param loads the calls in flight at the targets, not null
     * @param random breaks ties, so that the instances do not all begin with the same target, not null
     */
    public LeastLoadedChooser(TargetDirectory directory, LoadTracker loads, UniformRandomProvider random) {
        this.directory = Objects.requireNonNull(directory, "directory");
        this.loads = Objects.requireNonNull(loads, "loads");
        this.random = Objects.requireNonNull(random, "random");
    }

    @Override
    public Optional<ForwardingPlan> choose(TargetQuery query) {
        List<Incarnation> best = new ArrayList<>();
        double lowestLoad = Double.MAX_VALUE;
        for (Incarnation target : directory.readyTargets(query.service().name())) {
            if (query.triedTargetIds().contains(target.id())
                    || target.stage() == Stage.PREFILL
                    || !query.isVersionAllowed(target)
                    || !directory.hasCapacity(target)) {
                continue;
            }
            double load = loads.totalAt(target.id()).callsCount() / (double) Math.max(1, target.slotsCount());
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

    @Override
    public boolean isCurrent(Incarnation target) {
        return directory.isCurrent(target);
    }

    @Override
    public SendCheck checkSend(Incarnation target) {
        return directory.checkSend(target);
    }

    @Override
    public long millisUntilCapacity(TargetQuery query) {
        return directory.millisUntilCapacity(query);
    }
}
