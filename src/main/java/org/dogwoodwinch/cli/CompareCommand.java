package org.dogwoodwinch.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.dogwoodwinch.replay.Comparison;
import org.dogwoodwinch.replay.Deployment;
import org.dogwoodwinch.replay.GoodputPlot;
import org.dogwoodwinch.replay.PolicyFigures;
import org.dogwoodwinch.replay.ReplayPolicy;
import org.dogwoodwinch.replay.ReplayResult;
import org.dogwoodwinch.replay.Trace;
import org.dogwoodwinch.replay.TraceCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code dogwoodwinchctl compare}: replays traces under our policy and the baselines. */
@Command(
        name = "compare",
        mixinStandardHelpOptions = true,
        description = "Replays traces of one deployment under every policy; prints CSV, and a plot of the first trace.")
public final class CompareCommand implements Callable<Integer> {

    @Spec
    private CommandSpec spec;

    @Parameters(arity = "1..*", paramLabel = "TRACE", description = "Traces, in JSON lines.")
    private List<Path> files;

    @Option(names = "--csv", paramLabel = "FILE", description = "Write the table there, as CSV, too.")
    private Path csv;

    @Option(names = "--plot", paramLabel = "FILE", description = "Write goodput over time there, as PNG.")
    private Path plot;

    @Override
    public Integer call() throws IOException {
        List<Trace> traces = new ArrayList<>();
        for (Path file : files) {
            traces.add(TraceCodec.read(file));
        }
        String deployment = traces.get(0).header().deployment();
        double price = Deployment.valueOf(deployment.toUpperCase(Locale.ROOT)).price();
        List<List<ReplayResult>> results = Comparison.run(traces, ReplayPolicy.all(price));
        List<String> lines = new ArrayList<>();
        lines.add(String.join(",", PolicyFigures.COLUMNS));
        results.forEach(
                each -> lines.add(String.join(",", PolicyFigures.of(each).cells())));
        PrintWriter out = spec.commandLine().getOut();
        lines.forEach(out::println);
        out.flush();
        if (csv != null) {
            Files.write(csv, lines);
        }
        if (plot != null) {
            GoodputPlot.write(
                    deployment, results.stream().map(each -> each.get(0)).toList(), plot);
        }
        return ExitCodes.DONE;
    }
}
