package org.dogwoodwinch.faultrun;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.fault.Fault;
import org.dogwoodwinch.fault.FaultKind;
import org.dogwoodwinch.fault.FaultSchedule;
import org.dogwoodwinch.fault.FaultScheduleGenerator;
import org.dogwoodwinch.history.FileRecorder;
import org.dogwoodwinch.history.HistoryChecks;
import org.dogwoodwinch.history.HistoryCodec;
import org.dogwoodwinch.history.HistoryVerdict;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The launcher behind {@code bin/faultrun}. */
@Command(
        name = "faultrun",
        mixinStandardHelpOptions = true,
        description = "Runs real daemons on loopback under faults, singly and two at a time, and judges the nine"
                + " properties.",
        exitCodeListHeading = "Exit codes:%n",
        exitCodeList = {
            "0:no property was broken",
            "1:a property was broken, or an instance did not come back, or a request never ended",
            "2:bad command line"
        })
public final class FaultRunCommand implements Callable<Integer> {

    private static final List<FaultKind> KINDS = List.of(FaultKind.values());
    private static final long HORIZON_MILLIS = 500;

    @Spec
    private CommandSpec spec;

    @Option(names = "--seed", paramLabel = "N", description = "Seed of all schedules; ${DEFAULT-VALUE}.")
    private long seed = 1;

    @Option(names = "--daemons", paramLabel = "N", description = "How many daemons; ${DEFAULT-VALUE}.")
    private int daemonCount = 6;

    @Option(
            names = "--pairs",
            paramLabel = "N",
            description = "How many pairs of faults beside all single ones, at most 78; ${DEFAULT-VALUE}.")
    private int pairCount = 8;

    @Option(names = "--pairs-only", description = "Leave the single faults out.")
    private boolean pairsOnly;

    @Option(names = "--fault-millis", paramLabel = "N", description = "The longest fault; ${DEFAULT-VALUE}.")
    private long faultMillis = 3_000;

    @Option(
            names = "--request-every-millis",
            paramLabel = "N",
            description = "Time between requests; ${DEFAULT-VALUE}.")
    private long requestEveryMillis = 20;

    @Option(names = "--out", paramLabel = "DIR", description = "Keeps history and output here; else they are removed.")
    private Path out;

    /**
     * Runs the launcher and exits.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        System.exit(new CommandLine(new FaultRunCommand()).execute(args));
    }

    @Override
    public Integer call() throws IOException {
        Path directory = out == null ? Files.createTempDirectory("faultrun") : Files.createDirectories(out);
        try {
            return run(directory);
        } finally {
            if (out == null) {
                remove(directory);
            }
        }
    }

    private int run(Path directory) throws IOException {
        PrintWriter print = spec.commandLine().getOut();
        boolean sound;
        try (FileRecorder history = new FileRecorder(directory.resolve("history.jsonl"));
                FaultRun run = new FaultRun(directory, history, daemonCount, requestEveryMillis, seed)) {
            sound = run.start();
            print.println("seed " + seed + ", " + daemonCount + " daemons, all ready: " + sound);
            List<FaultSchedule> schedules = schedules(run);
            for (FaultSchedule schedule : schedules) {
                boolean back = run.play(schedule);
                sound &= back;
                print.printf("%-60s all ready again: %s%n", label(schedule), back);
                print.flush();
            }
            boolean ended = run.finish();
            sound &= ended;
            print.println(
                    schedules.size() + " schedules, " + run.callCount() + " calls, every request ended: " + ended);
            run.outcomes().forEach((outcome, count) -> print.printf("%8d  %s%n", count, outcome));
        }
        HistoryVerdict verdict = HistoryChecks.standard().judge(HistoryCodec.read(directory.resolve("history.jsonl")));
        print.print(verdict.toText());
        print.flush();
        return verdict.held() && sound ? 0 : 1;
    }

    private List<FaultSchedule> schedules(FaultRun run) {
        FaultScheduleGenerator generator = new FaultScheduleGenerator(run.subjects(), HORIZON_MILLIS, faultMillis);
        List<FaultSchedule> schedules = new ArrayList<>();
        if (!pairsOnly) {
            schedules.addAll(generator.singles(seed, KINDS));
        }
        List<FaultSchedule> pairs = new ArrayList<>(generator.pairs(seed + KINDS.size(), KINDS));
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<Integer> order = shuffled(random, pairs.size());
        order.stream().limit(pairCount).forEach(index -> schedules.add(pairs.get(index)));
        return schedules;
    }

    private static List<Integer> shuffled(UniformRandomProvider random, int size) {
        List<Integer> order = new ArrayList<>(IntStream.range(0, size).boxed().toList());
        for (int i = order.size() - 1; i > 0; i--) {
            Collections.swap(order, i, random.nextInt(i + 1));
        }
        return order;
    }

    private static String label(FaultSchedule schedule) {
        return schedule.faults().stream().map(FaultRunCommand::label).collect(Collectors.joining(" + "));
    }

    private static String label(Fault fault) {
        String what = fault.kind().name().toLowerCase(Locale.ROOT);
        return fault.subject().equals(Fault.PLATFORM) ? what : what + " " + fault.subject();
    }

    private static void remove(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }
}
