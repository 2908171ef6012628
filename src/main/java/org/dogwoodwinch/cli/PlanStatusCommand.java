package org.dogwoodwinch.cli;

import java.util.concurrent.Callable;
import org.dogwoodwinch.authority.PlanRecord;
import org.dogwoodwinch.control.PlanAnswer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** {@code dogwoodwinchctl plan status}: prints how far planned changes are. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = "Prints how far one planned change is, or all of them.")
public final class PlanStatusCommand implements Callable<Integer> {

    @Mixin
    private InstanceOption instance;

    @Parameters(arity = "0..1", paramLabel = "PLAN-ID", description = "The plan, as apply printed it.")
    private String planId;

    @Override
    public Integer call() {
        if (planId != null) {
            return instance.get(
                    "/control/plans/" + planId, PlanAnswer.class, answer -> PlanAnswers.print(instance, answer));
        }
        return instance.getList("/control/plans", PlanRecord.class, plans -> {
            PlanAnswers.printAll(instance, plans);
            return ExitCodes.DONE;
        });
    }
}
