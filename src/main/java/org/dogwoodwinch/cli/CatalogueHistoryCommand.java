package org.dogwoodwinch.cli;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.Callable;
import org.dogwoodwinch.catalogue.EditOutcome;
import org.dogwoodwinch.catalogue.EditRecord;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** {@code dogwoodwinchctl catalogue history}: prints the last edits, accepted or not. */
@Command(
        name = "history",
        mixinStandardHelpOptions = true,
        description = "Prints the last edits, accepted or not, oldest first.")
public final class CatalogueHistoryCommand implements Callable<Integer> {

    private static final String FORMAT = "%-10s %-24s %-16s %-20s %-9s %-9s %s";

    @Mixin
    private InstanceOption instance;

    @Override
    public Integer call() {
        return instance.getList("/control/catalogue/history", EditRecord.class, this::print);
    }

    private int print(List<EditRecord> lines) {
        instance.line(FORMAT, "offset", "edit", "author", "time", "base", "verdict", "detail");
        for (EditRecord line : lines) {
            instance.line(
                    FORMAT,
                    line.offset(),
                    line.id(),
                    line.author(),
                    Instant.ofEpochMilli(line.editedAtMillis() / 1_000 * 1_000),
                    line.baseRevision(),
                    line.verdict(),
                    detail(line));
        }
        return ExitCodes.DONE;
    }

    private static String detail(EditRecord line) {
        return line.outcome()
                .match(
                        accepted -> "revision " + accepted.revision(),
                        outrun -> "edit " + outrun.winnerId() + " came first",
                        EditOutcome.Invalid::detail);
    }
}
