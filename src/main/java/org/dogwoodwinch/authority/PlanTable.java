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
 * The planned changes, derived from the log; {@code planned-change.json} defines the allowed transitions. Not
 * thread-safe.
 */
public final class PlanTable {

    /** The greatest number of changes that are waiting or in progress at once. */
    public static final int MAX_ACTIVE = 500;

    /** The greatest number of ended changes that the table keeps. */
    public static final int MAX_FINISHED = 128;

    /** The greatest number of drained or withdrawn targets that the table keeps. */
    public static final int MAX_OUT_OF_SERVICE = 1_024;

    private static final StateChart<PlanState, PlanEvent, PlanAction> CHART =
            new ChartReader<>(PlanState.class, PlanEvent.class, PlanAction.class).readResource("planned-change.json");
    private final Map<String, PlanRecord> plans = new LinkedHashMap<>();
    private final Map<String, OutOfServiceReason> outOfServiceReasons;
    private long forgottenThrough;

    /**
     * Restores the table.
     *
     * @param plans the plans in order of their requests, not null
     * @param standing the reasons why targets are out of service, by target, oldest first, not null
     * @param forgottenThrough the highest offset of a request whose plan was removed from the table; -1 if none was
     */
    public PlanTable(List<PlanRecord> plans, Map<String, OutOfServiceReason> standing, long forgottenThrough) {
        plans.forEach(plan -> this.plans.put(plan.id(), plan));
        this.outOfServiceReasons = new LinkedHashMap<>(standing);
        this.forgottenThrough = forgottenThrough;
    }

    /**
     * Applies a request.
     *
     * @param offset the request's offset
     * @param request the request, not null
     * @return the reason for a rejection, or empty
     */
    Optional<String> apply(long offset, AuthorityRecord.PlanRequested request) {
        if (plans.containsKey(request.id()) || request.readUpTo() < forgottenThrough) {
            return Optional.of("the plan was already requested");
        }
        Optional<String> conflicting = findConflictingPlan(request.change());
        if (conflicting.isPresent()) {
            return Optional.of("plan " + conflicting.get() + " changes the same engine");
        }
        if (plans.values().stream().filter(PlanRecord::isActive).count() >= MAX_ACTIVE) {
            return Optional.of(MAX_ACTIVE + " plans are already active");
        }
        PlannedChange change = request.change();
        boolean isRestore = change.kind() == PlannedChange.Kind.RESTORE;
        if (isRestore) {
            outOfServiceReasons.remove(change.engine());
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
     * Applies an event to a plan.
     *
     * @param offset the offset of the record that causes the event
     * @param planId the id of the plan, not null
     * @param event the event, not null
     * @param detail the reason for a failure or a cancellation; else empty, not null
     * @return the reason for a rejection, or empty
     */
    Optional<String> applyEvent(long offset, String planId, PlanEvent event, String detail) {
        PlanRecord plan = plans.get(planId);
        if (plan == null) {
            return Optional.of("unknown plan");
        }
        Optional<ChartStep<PlanState, PlanAction>> step = CHART.next(plan.state(), event);
        if (step.isEmpty()) {
            return Optional.of("a plan in state " + plan.state() + " does not accept event " + event);
        }
        step.get().action().ifPresent(_action -> markOutOfService(plan.change()));
        plans.put(planId, plan.withState(step.get().to(), offset, detail));
        removeOldestFinished();
        return Optional.empty();
    }

    /**
     * Returns whether a plan accepts an event.
     *
     * @param planId the id of the plan, not null
     * @param event the event, not null
     * @return whether the plan is known and the event is allowed in its state
     */
    boolean accepts(String planId, PlanEvent event) {
        PlanRecord plan = plans.get(planId);
        return plan != null && CHART.next(plan.state(), event).isPresent();
    }

    /**
     * Finds a plan.
     *
     * @param planId its id, not null
     * @return the plan, or empty if it is unknown or was removed
     */
    public Optional<PlanRecord> plan(String planId) {
        return Optional.ofNullable(plans.get(planId));
    }

    /**
     * Returns all plans in the table.
     *
     * @return an unmodifiable view of the plans, in order of their requests
     */
    public Collection<PlanRecord> plans() {
        return Collections.unmodifiableCollection(plans.values());
    }

    /**
     * Returns the targets that stay out of service after their planned change has ended.
     *
     * @return an unmodifiable view of the reasons, by target, oldest first
     */
    public Map<String, OutOfServiceReason> outOfServiceReasons() {
        return Collections.unmodifiableMap(outOfServiceReasons);
    }

    /**
     * Returns the highest offset of a request whose plan was removed from the table.
     *
     * @return the offset, or -1 if no plan was removed
     */
    public long forgottenThrough() {
        return forgottenThrough;
    }

    /**
     * Returns the targets that must get no new requests: those being drained, drained or withdrawn.
     *
     * @return the names of the targets
     */
    public Set<String> outOfService() {
        Set<String> result = plans.values().stream()
                .map(PlanTable::drainedTarget)
                .<String>mapMulti(Optional::ifPresent)
                .collect(Collectors.toCollection(TreeSet::new));
        result.addAll(outOfServiceReasons.keySet());
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
        outOfServiceReasons.put(
                change.engine(),
                change.kind() == PlannedChange.Kind.DRAIN ? OutOfServiceReason.DRAINED : OutOfServiceReason.WITHDRAWN);
        if (outOfServiceReasons.size() > MAX_OUT_OF_SERVICE) {
            outOfServiceReasons.remove(outOfServiceReasons.keySet().iterator().next());
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
