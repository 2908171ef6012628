package org.dogwoodwinch.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One base gives one accepted edit; a revision is the same everywhere; no instance goes back; and each accepted edit,
 * or a later one, is in force within the bound on every instance that lives so long.
 */
final class CatalogueChecker implements PropertyChecker {

    private final long withinMillis;

    CatalogueChecker(long withinMillis) {
        this.withinMillis = withinMillis;
    }

    @Override
    public Property property() {
        return Property.CATALOGUE_IN_FORCE_AND_NEVER_REVERTS;
    }

    @Override
    public CheckResult check(History history) {
        List<Violation> violations = new ArrayList<>();
        List<CatalogueEvent.Edited> edits =
                history.of(CatalogueEvent.Edited.class).toList();
        judgeBases(edits, violations);
        judgeRevisions(history, violations);
        long checked = judgeSpread(history, edits, violations);
        return new CheckResult(property(), checked, violations);
    }

    private static void judgeBases(List<CatalogueEvent.Edited> edits, List<Violation> violations) {
        Map<Long, CatalogueEvent.Edited> byBase = new HashMap<>();
        for (CatalogueEvent.Edited edit : edits) {
            CatalogueEvent.Edited first = byBase.putIfAbsent(edit.baseRevision(), edit);
            if (first != null && first.revision() != edit.revision()) {
                violations.add(Violation.of(
                        "two-edits-on-one-base",
                        first.editId() + " and " + edit.editId() + " were both accepted on " + edit.baseRevision(),
                        first,
                        edit));
            }
        }
    }

    private static void judgeRevisions(History history, List<Violation> violations) {
        Map<Long, CatalogueEvent.InForce> byRevision = new HashMap<>();
        Map<String, CatalogueEvent.InForce> newest = new HashMap<>();
        history.of(CatalogueEvent.InForce.class).forEach(inForce -> {
            CatalogueEvent.InForce same = byRevision.putIfAbsent(inForce.revision(), inForce);
            if (same != null && !same.content().equals(inForce.content())) {
                violations.add(Violation.of(
                        "two-contents",
                        "revision " + inForce.revision() + " differs between instances",
                        same,
                        inForce));
            }
            CatalogueEvent.InForce before = newest.get(inForce.instance());
            if (before != null && before.revision() > inForce.revision()) {
                violations.add(Violation.of(
                        "reverted",
                        inForce.instance() + " went back from " + before.revision() + " to " + inForce.revision(),
                        before,
                        inForce));
            } else {
                newest.put(inForce.instance(), inForce);
            }
        });
    }

    private long judgeSpread(History history, List<CatalogueEvent.Edited> edits, List<Violation> violations) {
        FaultWindows faults = new FaultWindows(history);
        List<InstanceLife> lives = InstanceLife.of(history);
        long checked = 0;
        for (CatalogueEvent.Edited edit : edits) {
            for (InstanceLife life : lives) {
                long fromMillis = Math.max(edit.atMillis(), life.started().atMillis());
                long dueMillis = faults.afterReachableMillis(life.instance(), fromMillis, withinMillis);
                if (life.endMillis() <= dueMillis || history.endMillis() < dueMillis) {
                    continue;
                }
                checked++;
                judgeInForce(life, edit, dueMillis).ifPresent(violations::add);
            }
        }
        return checked;
    }

    private static Optional<Violation> judgeInForce(InstanceLife life, CatalogueEvent.Edited edit, long dueMillis) {
        boolean inForce = life.inForce().stream()
                .anyMatch(event -> event.revision() >= edit.revision() && event.atMillis() <= dueMillis);
        return inForce
                ? Optional.empty()
                : Optional.of(Violation.of(
                        "not-in-force",
                        edit.editId() + " was not in force on " + life.instance() + " by " + dueMillis + " ms",
                        life.started(),
                        edit));
    }
}
