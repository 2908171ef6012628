package org.dogwoodwinch.cli;

import java.util.List;
import org.dogwoodwinch.authority.PlanRecord;
import org.dogwoodwinch.authority.PlanState;
import org.dogwoodwinch.control.PlanAnswer;

/** Prints planned changes. */
final class PlanAnswers {

    private static final String FORMAT = "%-24s %-14s %-20s %-12s %-16s %s";

    private PlanAnswers() {}

    /**
     * Prints an answer.
     *
     * @param instance prints, not null
     * @param answer the answer, not null
     * @return the exit code that goes with it
     */
    static int print(InstanceOption instance, PlanAnswer answer) {
        return switch (answer.verdict()) {
            case TAKEN -> {
                printAll(instance, List.of(answer.plan()));
                yield answer.plan().state() == PlanState.FAILED ? ExitCodes.REFUSED : ExitCodes.DONE;
            }
            case REFUSED -> {
                instance.line("refused: %s", answer.detail());
                yield ExitCodes.REFUSED;
            }
            case UNKNOWN_YET -> {
                instance.line("unknown yet: %s; ask for plan %s again", answer.detail(), answer.planId());
                yield ExitCodes.UNKNOWN;
            }
        };
    }

    /**
     * Prints plans as a table.
     *
     * @param instance prints, not null
     * @param plans the plans, not null
     */
    static void printAll(InstanceOption instance, List<PlanRecord> plans) {
        instance.line(FORMAT, "plan", "change", "engine", "state", "author", "detail");
        for (PlanRecord plan : plans) {
            instance.line(
                    FORMAT,
                    plan.id(),
                    plan.change().kind(),
                    plan.change().engine(),
                    plan.state(),
                    plan.author(),
                    plan.detail());
        }
    }
}
