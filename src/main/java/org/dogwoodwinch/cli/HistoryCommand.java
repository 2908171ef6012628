package org.dogwoodwinch.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code dogwoodwinchctl history}: what to do with histories of runs. */
@Command(
        name = "history",
        mixinStandardHelpOptions = true,
        description = "Judges histories of runs.",
        subcommands = HistoryCheckCommand.class)
public final class HistoryCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is wanted");
    }
}
