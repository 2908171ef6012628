package org.dogwoodwinch.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The root of {@code dogwoodwinchctl}; each subcommand has a class of its own. */
@Command(
        name = "dogwoodwinchctl",
        mixinStandardHelpOptions = true,
        version = "dogwoodwinchctl 0.1.0",
        description = "Operates dogwoodwinch.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:done, or accepted",
            "1:refused, rejected or found wrong",
            "2:bad command line",
            "3:not known yet: ask again",
            "4:the instance or the platform did not answer"
        },
        subcommands = {
            CatalogueCommand.class,
            CompareCommand.class,
            HistoryCommand.class,
            PlanCommand.class,
            QuarantineCommand.class,
            ReplayCommand.class,
            SettingsCommand.class,
            StatusCommand.class,
            TraceCommand.class
        })
public final class ControlCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    /**
     * Runs the tool and exits.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(new ControlCommand()).execute(args));
    }

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is wanted");
    }
}
