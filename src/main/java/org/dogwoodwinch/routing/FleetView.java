package org.dogwoodwinch.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.EngineState;
import org.dogwoodwinch.target.LoadReport;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.time.TimeSource;

/**
 * The state of all targets as known to this instance, from the instance list, engine states, load reports and messages
 * of peers.
 *
 * <p>Thread-safe: every public method holds this object's monitor, and {@link LoadAwareRouter} holds it during a
 * decision.
 */
public final class FleetView {

    private final TimeSource time;
    private final PeerContact peerContact = new PeerContact();
    private final Map<String, TargetState> targets = new HashMap<>();
    private final Map<String, GroupState> groups = new TreeMap<>();

    /**
     * Creates an empty view.
     *
     * @param time the clock, not null
     */
    public FleetView(TimeSource time) {
        this.time = Objects.requireNonNull(time, "time");
    }

    /**
     * Applies a complete copy of the platform's instance list: adds, updates and removes targets. Entries of kind
     * {@link ListedInstance.Kind#ENTRY}, the daemons of this system, are ignored.
     *
     * <p>Must not be called when the list could not be read, as an empty list removes all targets.
     *
     * @param instances the list, not null
     */
    public synchronized void onInstanceList(List<ListedInstance> instances) {
        Set<String> names = new HashSet<>();
        for (ListedInstance instance : instances) {
            if (instance.kind() != ListedInstance.Kind.ENTRY) {
                names.add(instance.name());
                addOrUpdate(instance);
            }
        }
        List<TargetState> removedStates = new ArrayList<>();
        targets.values().stream()
                .filter(state -> !names.contains(state.target().name()))
                .forEach(removedStates::add);
        removedStates.forEach(this::remove);
        groups.values().forEach(GroupState::sort);
    }

    /**
     * Marks a target as draining for a limited time, after a message from a peer or a refusal by the target, before the
     * instance list shows it.
     *
     * @param targetName the target, not null; an unknown one is ignored
     * @param durationMillis how long the mark lasts, in milliseconds; the instance list decides afterwards
     */
    public synchronized void markDraining(String targetName, long durationMillis) {
        TargetState state = targets.get(targetName);
        if (state != null) {
            state.markDrainingUntil(time.monotonicMillis() + durationMillis);
        }
    }

    /**
     * Removes a draining mark after a drain was cancelled. A target that the instance list shows as leaving stays
     * excluded.
     *
     * @param targetName the target, not null; an unknown one is ignored
     */
    public synchronized void clearDraining(String targetName) {
        TargetState state = targets.get(targetName);
        if (state != null) {
            state.clearDraining();
        }
    }

    /**
     * Applies an engine's state: its role and whether it is ready.
     *
     * @param targetName the engine, not null; an unknown one is ignored
     * @param engineState the state that the engine reported, not null
     */
    public synchronized void onEngineState(String targetName, EngineState engineState) {
        TargetState state = targets.get(targetName);
        if (state != null) {
            state.setReady(engineState.ready());
            changeRole(state, engineState.configuration().role());
        }
    }

    /**
     * Applies a load report.
     *
     * @param targetName the engine, not null; an unknown one is ignored
     * @param report the report, not null
     */
    public synchronized void onLoadReport(String targetName, LoadReport report) {
        Objects.requireNonNull(report, "report");
        TargetState state = targets.get(targetName);
        if (state != null) {
            state.updateReport(report);
        }
    }

    /**
     * Returns whether urgent requests are in flight on a target, sent by this instance or, according to their last
     * messages, by its peers.
     *
     * @param targetName the target, not null
     * @return true if there are some
     */
    public synchronized boolean hasUrgentRequests(String targetName) {
        return state(targetName)
                .filter(state -> state.hasUrgentRequests(time.wallMillis()))
                .isPresent();
    }

    /**
     * Returns all known targets, for status pages and the role planner.
     *
     * @return one summary each, ordered by group, role and name
     */
    public synchronized List<TargetSummary> targetSummaries() {
        List<TargetSummary> summaries = new ArrayList<>();
        groups.values().forEach(group -> group.all().forEach(state -> summaries.add(summaryOf(state))));
        return summaries;
    }

    /**
     * Returns all known targets of one group.
     *
     * @param groupName the group, not null
     * @return one summary each; empty for an unknown group
     */
    public synchronized List<TargetSummary> targetSummaries(String groupName) {
        GroupState group = groups.get(groupName);
        return group == null
                ? List.of()
                : group.all().stream().map(this::summaryOf).toList();
    }

    PeerContact peerContact() {
        return peerContact;
    }

    Optional<GroupState> group(String name) {
        return Optional.ofNullable(groups.get(name));
    }

    Optional<TargetState> state(String targetName) {
        return Optional.ofNullable(targets.get(targetName));
    }

    Collection<TargetState> states() {
        return targets.values();
    }

    private TargetSummary summaryOf(TargetState state) {
        LoadEstimate estimate = LoadEstimate.of(state, RoutingPolicy.STANDARD, time.wallMillis());
        long nowMillis = time.monotonicMillis();
        boolean leaving = state.isDraining(nowMillis);
        return new TargetSummary(
                state.target(),
                state.role(),
                state.isReady() && !leaving && state.health().isUsable(nowMillis),
                leaving,
                state.outstandingRequests(),
                estimate.prefillTokens(),
                estimate.decodeTokens(),
                state.health().slowdown());
    }

    private void addOrUpdate(ListedInstance instance) {
        Target target =
                new Target(instance.name(), instance.host(), instance.port(), instance.dataCentre(), instance.group());
        TargetState state = targets.get(instance.name());
        if (state != null && !state.target().equals(target)) {
            remove(state);
            state = null;
        }
        if (state == null) {
            state = new TargetState(target, peerContact);
            targets.put(target.name(), state);
            groups.computeIfAbsent(target.group(), _name -> new GroupState()).add(state);
        }
        state.setListedLeaving(instance.leaving());
    }

    private void remove(TargetState state) {
        targets.remove(state.target().name());
        GroupState group = groups.get(state.target().group());
        group.remove(state);
    }

    private void changeRole(TargetState state, EngineRole role) {
        if (state.role() != role) {
            GroupState group = groups.get(state.target().group());
            group.remove(state);
            state.setRole(role);
            group.add(state);
            group.sort();
        }
    }
}
