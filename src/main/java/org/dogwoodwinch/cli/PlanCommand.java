package org.dogwoodwinch.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code dogwoodwinchctl plan}: plans changes of engines. */
@Command(
        name = "plan",
        mixinStandardHelpOptions = true,
        description = "Plans changes of engines and follows them.",
        subcommands = {PlanApplyCommand.class, PlanStatusCommand.class, PlanCancelCommand.class})
public final class PlanCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is wanted");
    }
}
