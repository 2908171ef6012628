package org.dogwoodwinch.measure.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.dogwoodwinch.authority.AuthorityRecord;
import org.dogwoodwinch.authority.ClaimPriority;
import org.dogwoodwinch.authority.PlanRecord;
import org.dogwoodwinch.authority.PlannedChange;
import org.dogwoodwinch.control.PlanRequest;
import org.dogwoodwinch.target.EngineRole;

/** Runs planned changes in a {@link VirtualFleet} and notes what they cost. */
final class PlanRun {

    private static final long STEP_MILLIS = 20;
    private static final long MOST_MILLIS = 1_200_000;

    private final VirtualFleet fleet = new VirtualFleet(6, 3, 4, 5, ClaimPriority::rank);
    private final long beganMillis = fleet.time().monotonicMillis();

    VirtualFleet fleet() {
        return fleet;
    }

    /**
     * Asks for changes on engines of their own, all at once.
     *
     * @param roleChanges how many change the role
     * @param modelLoads how many load another version of the model
     */
    void request(int roleChanges, int modelLoads) {
        for (int i = 0; i < roleChanges + modelLoads; i++) {
            String engine = fleet.targets().get(i).name();
            PlannedChange change = i < roleChanges
                    ? PlannedChange.changeRole(engine, EngineRole.PREFILL)
                    : new PlannedChange(PlannedChange.Kind.LOAD_MODEL, engine, "", null, "model", "2", "", "");
            fleet.node().requestPlan(new PlanRequest("plan-" + i, "measure", change));
        }
        fleet.time().advanceMillis(200);
    }

    /**
     * Lets time pass until all plans are over.
     *
     * @return milliseconds that it took
     */
    long runToEnd() {
        long startMillis = fleet.time().monotonicMillis();
        while (anyActive() && fleet.time().monotonicMillis() - startMillis < MOST_MILLIS) {
            fleet.time().advanceMillis(STEP_MILLIS);
        }
        return fleet.time().monotonicMillis() - startMillis;
    }

    /**
     * Returns the records that the run appended for plans and orders alone.
     *
     * @return how many
     */
    long planAppends() {
        return fleet.log().since(beganMillis).stream()
                .filter(each -> !planOf(each.record()).isEmpty())
                .count();
    }

    /**
     * Returns the most appends in any second of the run, of all kinds.
     *
     * @return how many
     */
    long mostAppendsInASecond() {
        Map<Long, Long> bySecond = new TreeMap<>();
        fleet.log().since(beganMillis).forEach(each -> bySecond.merge(each.atMillis() / 1_000, 1L, Long::sum));
        return bySecond.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    /**
     * Returns how long plans were silent on the log between two of their records.
     *
     * @return milliseconds, in no order
     */
    List<Long> silencesMillis() {
        Map<String, Long> last = new TreeMap<>();
        List<Long> silences = new ArrayList<>();
        fleet.log().since(beganMillis).forEach(each -> {
            String plan = planOf(each.record());
            Long before = plan.isEmpty() ? null : last.put(plan, each.atMillis());
            if (before != null) {
                silences.add(each.atMillis() - before);
            }
        });
        return silences;
    }

    private boolean anyActive() {
        return fleet.node().plans().stream().anyMatch(PlanRecord::isActive);
    }

    private String planOf(Object record) {
        if (record instanceof AuthorityRecord.PlanRequested requested) {
            return requested.id();
        }
        if (record instanceof AuthorityRecord.PlanMoved moved) {
            return moved.planId();
        }
        if (record instanceof AuthorityRecord.OrderIntent intent) {
            return intent.planId();
        }
        if (record instanceof AuthorityRecord.OrderSettled settled) {
            return fleet.log().since(beganMillis).stream()
                    .map(CountingLog.Append::record)
                    .filter(each -> each instanceof AuthorityRecord.OrderIntent intent
                            && intent.engine().equals(settled.engine()))
                    .map(each -> ((AuthorityRecord.OrderIntent) each).planId())
                    .findFirst()
                    .orElse("");
        }
        return "";
    }
}
