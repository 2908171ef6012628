package org.dogwoodwinch.cli;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code dogwoodwinchctl catalogue}: reads and edits the catalogue. */
@Command(
        name = "catalogue",
        mixinStandardHelpOptions = true,
        description = "Reads and edits the catalogue.",
        subcommands = {
            CatalogueGetCommand.class,
            CatalogueDiffCommand.class,
            CatalogueApplyCommand.class,
            CatalogueStatusCommand.class,
            CatalogueHistoryCommand.class
        })
public final class CatalogueCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "a subcommand is wanted");
    }
}
