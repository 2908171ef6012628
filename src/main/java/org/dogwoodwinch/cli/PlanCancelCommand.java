package org.dogwoodwinch.cli;

import java.util.concurrent.Callable;
import org.dogwoodwinch.control.CancelRequest;
import org.dogwoodwinch.control.PlanAnswer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code dogwoodwinchctl plan cancel}: cancels a planned change whose order is not out yet. */
@Command(
        name = "cancel",
        mixinStandardHelpOptions = true,
        description = "Cancels a planned change; refused once its order is on the log.")
public final class PlanCancelCommand implements Callable<Integer> {

    @Mixin
    private InstanceOption instance;

    @Parameters(paramLabel = "PLAN-ID", description = "The plan, as apply printed it.")
    private String planId;

    @Option(
            names = "--author",
            paramLabel = "NAME",
            defaultValue = "${sys:user.name}",
            description = "Who cancels (default: ${DEFAULT-VALUE}).")
    private String author;

    @Override
    public Integer call() {
        return instance.post(
                "/control/plans/" + planId + "/cancel",
                new CancelRequest(author),
                PlanAnswer.class,
                answer -> PlanAnswers.print(instance, answer));
    }
}
