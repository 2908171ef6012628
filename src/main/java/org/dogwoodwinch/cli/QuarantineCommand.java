package org.dogwoodwinch.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code dogwoodwinchctl quarantine}: requests that crash targets. */
@Command(
        name = "quarantine",
        mixinStandardHelpOptions = true,
        description = "Lists and lifts quarantines of requests that crash targets.",
        subcommands = {QuarantineListCommand.class, QuarantineLiftCommand.class})
public final class QuarantineCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is wanted");
    }
}
