package org.dogwoodwinch.authority;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.dogwoodwinch.chart.ChartReader;
import org.dogwoodwinch.chart.ChartStep;
import org.dogwoodwinch.chart.StateChart;

/**
 * The planned changes as the log makes them; the chart {@code planned-change.json} decides what may follow what. Not
 * thread-safe.
 */
public final class PlanTable {

    /** How many changes may be under way or waiting at once. */
    public static final int MAX_ACTIVE = 500;

    /** How many finished changes are remembered. */
    public static final int MAX_FINISHED = 128;

    /** How many withdrawn targets are remembered. */
    public static final int MAX_OUT_OF_SERVICE = 1_024;

    private static final StateChart<PlanState, PlanEvent, PlanAction> CHART =
            new ChartReader<>(PlanState.class, PlanEvent.class, PlanAction.class).readResource("planned-change.json");
    private final Map<String, PlanRecord> plans = new LinkedHashMap<>();
    private final Map<String, StandingMark> standing;
    private long forgottenThrough;

    /**
     * Creates the table as it was left.
     *
     * @param plans the plans in order of their requests, not null
     * @param standing the targets out of service by name, oldest first, not null
     * @param forgottenThrough the offset of the youngest request that is forgotten; -1 where none is
     */
    public PlanTable(List<PlanRecord> plans, Map<String, StandingMark> standing, long forgottenThrough) {
        plans.forEach(plan -> this.plans.put(plan.id(), plan));
        this.standing = new LinkedHashMap<>(standing);
        this.forgottenThrough = forgottenThrough;
    }

    /**
     * Reads a request.
     *
     * @param offset its offset
     * @param request the request, not null
     * @return why it is void, or empty
     */
    Optional<String> apply(long offset, AuthorityRecord.PlanRequested request) {
        if (plans.containsKey(request.id()) || request.readUpTo() < forgottenThrough) {
            return Optional.of("requested before");
        }
        Optional<String> conflicting = findConflictingPlan(request.change());
        if (conflicting.isPresent()) {
            return Optional.of("plan " + conflicting.get() + " changes the same engine");
        }
        if (plans.values().stream().filter(PlanRecord::isActive).count() >= MAX_ACTIVE) {
            return Optional.of("too many plans are under way");
        }
        PlannedChange change = request.change();
        boolean isRestore = change.kind() == PlannedChange.Kind.RESTORE;
        if (isRestore) {
            standing.remove(change.engine());
        }
        plans.put(
                request.id(),
                new PlanRecord(
                        request.id(),
                        request.author(),
                        request.requestedAtMillis(),
                        offset,
                        offset,
                        change,
                        isRestore ? PlanState.DONE : CHART.initial(),
                        ""));
        removeOldestFinished();
        return Optional.empty();
    }

    /**
     * Moves a plan on.
     *
     * @param offset the offset of the record that does it
     * @param planId the plan, not null
     * @param event what happens, not null
     * @param detail why, where that is of interest, not null
     * @return why the event has no effect, or empty
     */
    Optional<String> applyEvent(long offset, String planId, PlanEvent event, String detail) {
        PlanRecord plan = plans.get(planId);
        if (plan == null) {
            return Optional.of("there is no such plan");
        }
        Optional<ChartStep<PlanState, PlanAction>> step = CHART.next(plan.state(), event);
        if (step.isEmpty()) {
            return Optional.of("a plan that is " + plan.state() + " does not take " + event);
        }
        step.get().action().ifPresent(_action -> markOutOfService(plan.change()));
        plans.put(planId, plan.withState(step.get().to(), offset, detail));
        removeOldestFinished();
        return Optional.empty();
    }

    /**
     * Says whether an event would have an effect.
     *
     * @param planId the plan, not null
     * @param event the event, not null
     * @return whether the plan's state takes it
     */
    boolean accepts(String planId, PlanEvent event) {
        PlanRecord plan = plans.get(planId);
        return plan != null && CHART.next(plan.state(), event).isPresent();
    }

    /**
     * Finds a plan.
     *
     * @param planId its id, not null
     * @return the plan, or empty where it is unknown or forgotten
     */
    public Optional<PlanRecord> plan(String planId) {
        return Optional.ofNullable(plans.get(planId));
    }

    /**
     * Returns all plans that are remembered.
     *
     * @return the plans in order of their requests; a view
     */
    public Collection<PlanRecord> plans() {
        return Collections.unmodifiableCollection(plans.values());
    }

    /**
     * Returns the targets that stay out of service.
     *
     * @return the marks by target, oldest first; a view
     */
    public Map<String, StandingMark> standing() {
        return Collections.unmodifiableMap(standing);
    }

    /**
     * Returns the offset of the youngest request that is forgotten.
     *
     * @return the offset, or -1
     */
    public long forgottenThrough() {
        return forgottenThrough;
    }

    /**
     * Returns the targets that must get no new work.
     *
     * @return their names
     */
    public Set<String> outOfService() {
        Set<String> result = plans.values().stream()
                .map(PlanTable::drainedTarget)
                .<String>mapMulti(Optional::ifPresent)
                .collect(Collectors.toCollection(TreeSet::new));
        result.addAll(standing.keySet());
        return result;
    }

    private static Optional<String> drainedTarget(PlanRecord plan) {
        return switch (plan.state()) {
            case DRAINING, ORDERING -> Optional.of(plan.change().orderedEngine());
            case RETIRING -> Optional.of(plan.change().engine());
            case REQUESTED, DONE, FAILED, CANCELLED -> Optional.empty();
        };
    }

    private Optional<String> findConflictingPlan(PlannedChange change) {
        Set<String> engines = Stream.of(change.engine(), change.orderedEngine()).collect(Collectors.toSet());
        return plans.values().stream()
                .filter(PlanRecord::isActive)
                .filter(plan -> engines.contains(plan.change().engine())
                        || engines.contains(plan.change().orderedEngine()))
                .map(PlanRecord::id)
                .findFirst();
    }

    private void markOutOfService(PlannedChange change) {
        standing.put(
                change.engine(),
                change.kind() == PlannedChange.Kind.DRAIN ? StandingMark.DRAINED : StandingMark.WITHDRAWN);
        if (standing.size() > MAX_OUT_OF_SERVICE) {
            standing.remove(standing.keySet().iterator().next());
        }
    }

    private void removeOldestFinished() {
        List<PlanRecord> finished =
                plans.values().stream().filter(plan -> !plan.isActive()).toList();
        for (int i = 0; i < finished.size() - MAX_FINISHED; i++) {
            plans.remove(finished.get(i).id());
            forgottenThrough = Math.max(forgottenThrough, finished.get(i).requestedOffset());
        }
    }
}
