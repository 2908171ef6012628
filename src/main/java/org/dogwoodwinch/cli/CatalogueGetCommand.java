package org.dogwoodwinch.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code dogwoodwinchctl catalogue get}: prints the catalogue in force on one instance, ready to be edited. */
@Command(
        name = "get",
        mixinStandardHelpOptions = true,
        description = "Prints the catalogue in force on an instance; edit the text and apply it.")
public final class CatalogueGetCommand implements Callable<Integer> {

    @Mixin
    private InstanceOption instance;

    @Override
    public Integer call() {
        return instance.getText("/control/catalogue");
    }
}
