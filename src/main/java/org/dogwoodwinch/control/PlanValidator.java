package org.dogwoodwinch.control;

import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.authority.EngineGroups;
import org.dogwoodwinch.authority.PlannedChange;
import org.dogwoodwinch.target.Target;

/**
 * Validates planned changes before they are published, so that an input error causes no append and drains no engine.
 */
final class PlanValidator {

    private PlanValidator() {}

    /**
     * Validates a change and adds the group of its engine.
     *
     * @param change the change to validate, not null
     * @param engines the known engines, not null
     * @return the change with its group, or the error
     */
    static Result validate(PlannedChange change, List<Target> engines) {
        Optional<Target> engine = find(engines, change.engine());
        if (engine.isEmpty()) {
            return Result.error("engine: there is no engine '" + change.engine() + "' in the instance list");
        }
        String group = EngineGroups.groupKey(engine.get());
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
                .filter(other -> EngineGroups.groupKey(other).equals(group))
                .isPresent();
        return sameGroup ? "" : "replacement: must be an engine of group " + group + " in the instance list";
    }

    private static Optional<String> missingError(String field, String value) {
        return value.isEmpty() ? Optional.of(field + ": is missing") : Optional.empty();
    }

    private static Optional<Target> find(List<Target> engines, String name) {
        return engines.stream().filter(target -> target.name().equals(name)).findFirst();
    }

    /**
     * The outcome of a validation. Exactly one of the two components is present.
     *
     * @param change the change with its group, if it is valid
     * @param error the error message, if the change is invalid
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
