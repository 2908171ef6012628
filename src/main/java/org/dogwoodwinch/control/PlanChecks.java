package org.dogwoodwinch.control;

import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.authority.EngineGroups;
import org.dogwoodwinch.authority.PlannedChange;
import org.dogwoodwinch.target.Target;

/** Checks planned changes before they are published, so that a typing error costs no append and drains no engine. */
final class PlanChecks {

    private PlanChecks() {}

    /**
     * Names the change's group and checks its fields.
     *
     * @param change the change, not null
     * @param engines the engines that there are, not null
     * @return the change with its group, or the fault
     */
    static Checked check(PlannedChange change, List<Target> engines) {
        Optional<Target> engine = find(engines, change.engine());
        if (engine.isEmpty()) {
            return Checked.fault("engine: there is no engine '" + change.engine() + "' in the instance list");
        }
        String group = EngineGroups.groupKey(engine.get());
        String fault = switch (change.kind()) {
            case LOAD_MODEL ->
                missing("model", change.model())
                        .or(() -> missing("modelVersion", change.modelVersion()))
                        .orElse("");
            case LOAD_ADAPTER, UNLOAD_ADAPTER ->
                missing("adapter", change.adapter()).orElse("");
            case CHANGE_ROLE -> change.role() == null ? "role: is missing" : "";
            case REPLACE -> replacementFault(change, group, engines);
            case DRAIN, RESTORE, WITHDRAW -> "";
        };
        return fault.isEmpty() ? Checked.sound(change.withGroup(group)) : Checked.fault(fault);
    }

    private static String replacementFault(PlannedChange change, String group, List<Target> engines) {
        if (change.replacement().equals(change.engine())) {
            return "replacement: an engine cannot replace itself";
        }
        boolean sameGroup = find(engines, change.replacement())
                .filter(other -> EngineGroups.groupKey(other).equals(group))
                .isPresent();
        return sameGroup ? "" : "replacement: an engine of group " + group + " in the instance list is wanted";
    }

    private static Optional<String> missing(String field, String value) {
        return value.isEmpty() ? Optional.of(field + ": is missing") : Optional.empty();
    }

    private static Optional<Target> find(List<Target> engines, String name) {
        return engines.stream().filter(each -> each.name().equals(name)).findFirst();
    }

    /**
     * The outcome of a check: exactly one of the two is there.
     *
     * @param change the change with its group
     * @param fault what is wrong
     */
    record Checked(Optional<PlannedChange> change, Optional<String> fault) {

        static Checked sound(PlannedChange change) {
            return new Checked(Optional.of(change), Optional.empty());
        }

        static Checked fault(String fault) {
            return new Checked(Optional.empty(), Optional.of(fault));
        }
    }
}
