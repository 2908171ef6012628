package org.dogwoodwinch.control;

import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.authority.EngineGroups;
import org.dogwoodwinch.authority.PlannedChange;
import org.dogwoodwinch.target.Target;

/** Checks planned changes before they are published, so that a typing error costs no append and drains no engine. */
final class PlanValidator {

    private PlanValidator() {}

    /**
     * Names the change's group and checks its fields.
     *
     * @param change the change, not null
     * @param engines the engines that there are, not null
     * @return the change with its group, or the fault
     */
    static Result validate(PlannedChange change, List<Target> engines) {
        Optional<Target> engine = find(engines, change.engine());
        if (engine.isEmpty()) {
            return Result.error("engine: there is no engine '" + change.engine() + "' in the instance list");
        }
        String group = EngineGroups.keyOf(engine.get());
        String error = switch (change.kind()) {
            case LOAD_MODEL ->
                missingError("model", change.model())
                        .or(() -> missingError("modelVersion", change.modelVersion()))
                        .orElse("");
            case LOAD_ADAPTER, UNLOAD_ADAPTER ->
                missingError("adapter", change.adapter()).orElse("");
            case CHANGE_ROLE -> change.role() == null ? "role: is missing" : "";
            case REPLACE -> replacementError(change, group, engines);
            case DRAIN, RESTORE, WITHDRAW -> "";
        };
        return error.isEmpty() ? Result.valid(change.withGroup(group)) : Result.error(error);
    }

    private static String replacementError(PlannedChange change, String group, List<Target> engines) {
        if (change.replacement().equals(change.engine())) {
            return "replacement: an engine cannot replace itself";
        }
        boolean sameGroup = find(engines, change.replacement())
                .filter(other -> EngineGroups.keyOf(other).equals(group))
                .isPresent();
        return sameGroup ? "" : "replacement: an engine of group " + group + " in the instance list is wanted";
    }

    private static Optional<String> missingError(String field, String value) {
        return value.isEmpty() ? Optional.of(field + ": is missing") : Optional.empty();
    }

    private static Optional<Target> find(List<Target> engines, String name) {
        return engines.stream().filter(target -> target.name().equals(name)).findFirst();
    }

    /**
     * The outcome of a check: exactly one of the two is there.
     *
     * @param change the change with its group
     * @param error what is wrong
     */
    record Result(Optional<PlannedChange> change, Optional<String> error) {

        static Result valid(PlannedChange change) {
            return new Result(Optional.of(change), Optional.empty());
        }

        static Result error(String error) {
            return new Result(Optional.empty(), Optional.of(error));
        }
    }
}
