package org.dogwoodwinch.replay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.roles.EngineSnapshot;
import org.dogwoodwinch.roles.RoleChange;
import org.dogwoodwinch.roles.RoleChangeRequester;
import org.dogwoodwinch.standin.EngineCost;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.target.LoadReport;
import org.dogwoodwinch.time.TimeSource;

/** The engines of a replay, what befalls them, and role changes carried out as orders would be: drained first. */
final class ReplayFleet implements RoleChangeRequester {

    private static final long DRAIN_LOOK_MILLIS = 100;
    private static final long WITHDRAW_GRACE_MILLIS = 20_000;
    private static final long MARK_MILLIS = 120_000;

    private final TimeSource time;
    private final List<String> dataCentres = List.of("dc-1", "dc-2", "dc-3");
    private final Map<String, ReplayEngine> engines = new LinkedHashMap<>();
    private final Map<String, EngineRole> changing = new LinkedHashMap<>();
    private final List<ReplayInstance> instances = new ArrayList<>();
    private final List<Long> roleChangesMillis = new ArrayList<>();

    ReplayFleet(TraceHeader header, ReplayPolicy.Roles roles, TimeSource time) {
        this.time = time;
        for (TraceGroup group : header.groups()) {
            for (int i = 0; i < group.engines(); i++) {
                String name = group.name() + "-" + i;
                EngineRole role = firstRole(roles, i, group.engines());
                engines.put(name, new ReplayEngine(name, group.name(), role, EngineCost.STANDARD, time));
            }
        }
    }

    Map<String, ReplayEngine> engines() {
        return engines;
    }

    void join(ReplayInstance instance) {
        instances.add(instance);
    }

    List<Long> roleChangesMillis() {
        return roleChangesMillis;
    }

    List<ListedInstance> listed() {
        List<ListedInstance> listed = new ArrayList<>();
        int place = 0;
        for (ReplayEngine engine : engines.values()) {
            String dataCentre = dataCentres.get(place++ % dataCentres.size());
            listed.add(new ListedInstance(
                    engine.name(),
                    ListedInstance.Kind.ENGINE,
                    "10.0.0.1",
                    80,
                    0,
                    dataCentre,
                    engine.leaving() && !changing.containsKey(engine.name()),
                    engine.group()));
        }
        return listed;
    }

    void befall(TraceFault fault) {
        ReplayEngine engine = engines.get(fault.engine());
        if (engine == null) {
            return;
        }
        switch (fault.kind()) {
            case CRASH -> engine.crash(fault.durationMillis());
            case DRAIN -> leaveFor(engine, fault.durationMillis());
            case WITHDRAW -> {
                leaveFor(engine, fault.durationMillis());
                long goneMillis = Math.max(1, fault.durationMillis() - WITHDRAW_GRACE_MILLIS);
                time.schedule(WITHDRAW_GRACE_MILLIS, () -> engine.crash(goneMillis));
            }
        }
    }

    List<EngineSnapshot> views(String group) {
        return engines.values().stream()
                .filter(engine -> engine.group().equals(group))
                .filter(engine -> changing.containsKey(engine.name()) || !(engine.leaving() || engine.down()))
                .map(engine -> new EngineSnapshot(
                        engine.name(),
                        engine.role(),
                        engine.serving() && !changing.containsKey(engine.name()),
                        engine.reportAsOldAs(0)
                                .map(LoadReport::queuedDecodeTokens)
                                .orElse(0L)))
                .toList();
    }

    @Override
    public boolean request(RoleChange change) {
        ReplayEngine engine = engines.get(change.engine());
        if (!engine.serving() || changing.containsKey(change.engine())) {
            return false;
        }
        changing.put(change.engine(), change.role());
        roleChangesMillis.add(time.monotonicMillis());
        instances.forEach(instance -> instance.fleet().markDraining(change.engine(), MARK_MILLIS));
        time.schedule(DRAIN_LOOK_MILLIS, () -> drained(engine));
        return true;
    }

    /** Nothing that runs is cut: the change waits until the engine has finished what it took before the mark. */
    private void drained(ReplayEngine engine) {
        if (engine.down()) {
            end(engine);
        } else if (engine.isIdle()) {
            engine.changeRole(changing.get(engine.name()));
            time.schedule(EngineCost.STANDARD.roleChangeMillis() + 1, () -> end(engine));
        } else {
            time.schedule(DRAIN_LOOK_MILLIS, () -> drained(engine));
        }
    }

    private void end(ReplayEngine engine) {
        changing.remove(engine.name());
        for (ReplayInstance instance : instances) {
            instance.fleet().clearDraining(engine.name());
            instance.fleet().onEngineState(engine.name(), engine.state());
        }
    }

    private void leaveFor(ReplayEngine engine, long millis) {
        engine.setLeaving(true);
        time.schedule(millis, () -> engine.setLeaving(false));
    }

    private static EngineRole firstRole(ReplayPolicy.Roles roles, int place, int count) {
        if (roles != ReplayPolicy.Roles.SPLIT) {
            return EngineRole.MIXED;
        }
        return place < Math.max(1, count / 3) ? EngineRole.PREFILL : EngineRole.DECODE;
    }
}
