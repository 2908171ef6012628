package org.dogwoodwinch.relay;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwinch.forwarding.ForwardingPlan;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.ServiceRoute;
import org.dogwoodwinch.forwarding.TargetQuery;

/** Chooses the targets of one call by what is known of the call and of its earlier attempts. Confined to one event loop. */
final class CallTargets {

    private final RelayContext context;
    private final RoutedCall routed;
    private final CallAttempts attempts;
    private final CallSuspicion suspicion;
    private final StreamContinuity continuity;

    CallTargets(
            RelayContext context,
            RoutedCall routed,
            CallAttempts attempts,
            CallSuspicion suspicion,
            StreamContinuity continuity) {
        this.context = Objects.requireNonNull(context, "context");
        this.routed = Objects.requireNonNull(routed, "routed");
        this.attempts = Objects.requireNonNull(attempts, "attempts");
        this.suspicion = Objects.requireNonNull(suspicion, "suspicion");
        this.continuity = Objects.requireNonNull(continuity, "continuity");
    }

    /**
     * Chooses a target. A call suspected of crashing targets avoids targets that run other suspects, unless there is no
     * other target.
     */
    Optional<ForwardingPlan> choose() {
        Set<String> suspectTargets = suspicion.targetsToAvoid();
        if (suspectTargets.isEmpty()) {
            return context.chooser().choose(query());
        }
        Set<String> avoided = new HashSet<>(attempts.triedIds());
        avoided.addAll(suspectTargets);
        return context.chooser()
                .choose(query(avoided))
                .or(() -> context.chooser().choose(query()));
    }

    /** Chooses the target that runs a call whose prompt was prefilled on another one. */
    Optional<Incarnation> chooseAfterPrefill(Incarnation prefillTarget) {
        return context.chooser().chooseDecodeTarget(query(), prefillTarget);
    }

    /** Returns the time until a target may accept the call; zero if one may at once, or none is known. */
    long millisUntilCapacity() {
        return context.chooser().millisUntilCapacity(query());
    }

    private TargetQuery query() {
        return query(attempts.triedIds());
    }

    private TargetQuery query(Set<String> avoided) {
        ServiceRoute route = routed.route();
        return new TargetQuery(
                routed.service(),
                routed.attributes().prompt(),
                routed.owner().map(known -> known.priorityOn(route)).orElseGet(route::priority),
                remainingObjectiveMillis(),
                route.maxEventGapMillis(),
                avoided,
                attempts.mayPrefillRemotely(),
                continuity.softwareVersion());
    }

    private long remainingObjectiveMillis() {
        long objectiveMillis = routed.route().latencyObjectiveMillis();
        return objectiveMillis <= 0
                ? Long.MAX_VALUE
                : routed.call().arrivalMillis()
                        + objectiveMillis
                        - context.time().monotonicMillis();
    }
}
