package org.dogwoodwinch.cli;

import java.util.concurrent.Callable;
import org.dogwoodwinch.control.ApplyAnswer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** {@code dogwoodwinchctl catalogue status}: says what became of an edit. */
@Command(name = "status", mixinStandardHelpOptions = true, description = "Says what became of an edit.")
public final class CatalogueStatusCommand implements Callable<Integer> {

    @Mixin
    private InstanceOption instance;

    @Parameters(paramLabel = "EDIT-ID", description = "The edit, as apply printed it.")
    private String editId;

    @Override
    public Integer call() {
        return instance.get(
                "/control/catalogue/edits/" + editId, ApplyAnswer.class, answer -> EditAnswers.print(instance, answer));
    }
}
