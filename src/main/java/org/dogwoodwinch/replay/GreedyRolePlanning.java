package org.dogwoodwinch.replay;

import java.util.Comparator;
import java.util.List;
import org.dogwoodwinch.roles.ClassDemand;
import org.dogwoodwinch.roles.DemandSource;
import org.dogwoodwinch.roles.EngineSnapshot;
import org.dogwoodwinch.roles.GoodputModel;
import org.dogwoodwinch.roles.RoleChange;
import org.dogwoodwinch.roles.RoleChangeRequester;
import org.dogwoodwinch.roles.RolePlanningStrategy;
import org.dogwoodwinch.roles.RoleSplit;
import org.dogwoodwinch.target.EngineRole;

/** Always moves towards the split that the last seconds' demand calls best: no price, no dwell, no second horizon. */
final class GreedyRolePlanning implements RolePlanningStrategy {

    private static final long HORIZON_MILLIS = 10_000;

    private final GoodputModel model;
    private final DemandSource demand;
    private final RoleChangeRequester requester;

    GreedyRolePlanning(GoodputModel model, DemandSource demand, RoleChangeRequester requester) {
        this.model = model;
        this.demand = demand;
        this.requester = requester;
    }

    @Override
    public void plan(String group, List<EngineSnapshot> engines) {
        if (engines.stream().anyMatch(engine -> !engine.stable())) {
            return;
        }
        RoleSplit now = new RoleSplit(
                count(engines, EngineRole.PREFILL),
                count(engines, EngineRole.DECODE),
                count(engines, EngineRole.MIXED));
        List<ClassDemand> recent = demand.demand(group, HORIZON_MILLIS);
        RoleSplit best = RoleSplit.possibleSplits(engines.size()).stream()
                .max(Comparator.comparingDouble(split -> model.predict(split, recent)))
                .orElse(now);
        if (model.predict(best, recent) <= model.predict(now, recent)) {
            return;
        }
        for (EngineRole wanted : EngineRole.values()) {
            for (EngineRole surplus : EngineRole.values()) {
                if (best.count(wanted) > now.count(wanted) && best.count(surplus) < now.count(surplus)) {
                    engines.stream()
                            .filter(engine -> engine.role() == surplus)
                            .min(Comparator.comparingLong(EngineSnapshot::backlogTokens))
                            .ifPresent(engine -> requester.request(new RoleChange(group, engine.name(), wanted, 0)));
                    return;
                }
            }
        }
    }

    private static int count(List<EngineSnapshot> engines, EngineRole role) {
        return (int) engines.stream().filter(engine -> engine.role() == role).count();
    }
}
