package org.dogwoodwinch.cli;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.dogwoodwinch.replay.Deployment;
import org.dogwoodwinch.replay.ExpectedOutcome;
import org.dogwoodwinch.replay.PolicyFigures;
import org.dogwoodwinch.replay.Replay;
import org.dogwoodwinch.replay.ReplayPolicy;
import org.dogwoodwinch.replay.Trace;
import org.dogwoodwinch.replay.TraceCodec;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code dogwoodwinchctl replay}: replays a trace and checks the outcomes that are stated for it. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description = "Replays a trace in virtual time and checks stated outcomes; exits with 1 where one is missed.")
public final class ReplayCommand implements Callable<Integer> {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Spec
    private CommandSpec spec;

    @Parameters(index = "0", paramLabel = "TRACE", description = "The trace, in JSON lines.")
    private Path trace;

    @Option(names = "--outcomes", required = true, paramLabel = "EXPECTED", description = "Expected outcomes, in JSON.")
    private Path outcomes;

    @Override
    public Integer call() throws IOException {
        Trace read = TraceCodec.read(trace);
        List<ExpectedOutcome> expected =
                MAPPER.readValue(Files.readString(outcomes), new TypeReference<List<ExpectedOutcome>>() {});
        double price = Deployment.valueOf(read.header().deployment().toUpperCase(Locale.ROOT))
                .price();
        PolicyFigures figures = PolicyFigures.of(List.of(new Replay(read, ReplayPolicy.ours(price)).run()));
        PrintWriter out = spec.commandLine().getOut();
        boolean held = true;
        for (ExpectedOutcome each : expected) {
            boolean came = each.heldBy(figures);
            held &= came;
            out.printf(
                    Locale.ROOT,
                    "%s %s: %s, at least %s, at most %s%n",
                    came ? "held  " : "MISSED",
                    each.figure(),
                    each.valueIn(figures).map(String::valueOf).orElse("no such figure"),
                    each.atLeast(),
                    each.atMost());
        }
        out.flush();
        return held ? ExitCodes.DONE : ExitCodes.REFUSED;
    }
}
