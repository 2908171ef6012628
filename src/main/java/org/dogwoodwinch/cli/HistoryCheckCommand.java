package org.dogwoodwinch.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.dogwoodwinch.history.CheckSettings;
import org.dogwoodwinch.history.History;
import org.dogwoodwinch.history.HistoryChecks;
import org.dogwoodwinch.history.HistoryCodec;
import org.dogwoodwinch.history.HistoryVerdict;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code dogwoodwinchctl history check}: judges the nine properties on the history of one run. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Judges the nine properties that must always hold on the history of one run.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:no property was broken",
            "1:a property was broken, or with --all-at-stake one was not at stake",
            "2:bad command line, or a file that is no history"
        })
public final class HistoryCheckCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "JSON lines; the files of one run go together.")
    private List<Path> files;

    @Option(
            names = "--leaving-grace-millis",
            paramLabel = "N",
            description = "How long a leaving target may still receive work; ${DEFAULT-VALUE}.")
    private long leavingGraceMillis = CheckSettings.STANDARD.leavingGraceMillis();

    @Option(
            names = "--in-force-within-millis",
            paramLabel = "N",
            description = "How long an accepted edit may still not be in force; ${DEFAULT-VALUE}.")
    private long inForceWithinMillis = CheckSettings.STANDARD.inForceWithinMillis();

    @Option(names = "--all-at-stake", description = "Fail also where the run put a property not at stake.")
    private boolean allAtStake;

    @Override
    public Integer call() {
        History history;
        try {
            history = readAll();
        } catch (IOException e) {
            spec.commandLine().getErr().println("history check: " + e.getMessage());
            return ExitCodes.USAGE;
        }
        HistoryVerdict verdict =
                new HistoryChecks(new CheckSettings(leavingGraceMillis, inForceWithinMillis)).judge(history);
        PrintWriter out = spec.commandLine().getOut();
        out.print(verdict.toText());
        out.println(history.events().size() + " events over " + (history.endMillis() - history.startMillis()) + " ms");
        out.flush();
        return verdict.held() && (verdict.allAtStake() || !allAtStake) ? ExitCodes.DONE : ExitCodes.REFUSED;
    }

    private History readAll() throws IOException {
        List<History> parts = new ArrayList<>();
        for (Path file : files) {
            parts.add(HistoryCodec.read(file));
        }
        return History.merge(parts);
    }
}
