package org.dogwoodwinch.measure;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.external.http.HttpInstanceList;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.http.HttpClients;
import org.dogwoodwinch.target.http.HttpTargetClientFactory;
import org.dogwoodwinch.target.http.TargetTimeouts;
import org.dogwoodwinch.time.SystemTimeSource;

/** Measures the whole path: a daemon process with a heap of 128 MB between callers and stand-in engines over HTTP. */
public final class PathMeasurement implements Measurement {

    private static final int CONCURRENT = 2_000;
    private static final int ENGINES = 4;
    private static final int MAX_TOKENS = 64;
    private static final int ANSWER_TOKENS = 16;
    private static final int LATENCY_CONCURRENT = 16;
    private static final int WARM_REQUESTS = 1_000;
    private static final int CONNECT_MILLIS = 5_000;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MOST_HEAP_GROWTH = 1.25;
    private static final int HEAP_ROUNDS = 3;

    /** Creates the measurement. */
    public PathMeasurement() {}

    @Override
    public String name() {
        return "path";
    }

    @Override
    public String description() {
        return "crossed answers, added latency, requests a second per core and heap of a daemon process";
    }

    @Override
    public MeasurementReport run(boolean quick) {
        EventLoopGroup group = new NioEventLoopGroup();
        ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
        try {
            return measure(quick, group, new SystemTimeSource(timers));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } finally {
            timers.shutdownNow();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    private static MeasurementReport measure(boolean quick, EventLoopGroup group, SystemTimeSource time)
            throws IOException, InterruptedException {
        Latencies latencies = measureLatencies(quick, group, time);
        PathProcesses processes = new PathProcesses(engineOptions("10"));
        DaemonCaller daemon = new DaemonCaller(group, processes.daemon().callersUrl(), MAX_TOKENS, time);
        try {
            new PathLoad(daemon, "warm", ANSWER_TOKENS, MAX_TOKENS).run(WARM_REQUESTS, LATENCY_CONCURRENT);
            Load many = new Load(
                    new PathLoad(daemon, "many", ANSWER_TOKENS, MAX_TOKENS), CONCURRENT * (quick ? 1 : 6), CONCURRENT);
            List<Integer> liveHeap = new ArrayList<>();
            Spent spent = new Spent(Duration.ZERO, Duration.ZERO);
            for (int i = 0; i < HEAP_ROUNDS; i++) {
                spent = spent.plus(many.run(processes, time));
                liveHeap.add(processes.liveHeapMegabytes());
            }
            return report(processes, latencies, many.load(), spent, liveHeap);
        } finally {
            daemon.close();
            processes.stop();
        }
    }

    /**
     * Engines of short steps and no prompt cost: with longer ones, what is measured is how the ways of sending fall into
     * the engines' steps and make each other's steps longer, not what the daemon adds.
     */
    private static Latencies measureLatencies(boolean quick, EventLoopGroup group, SystemTimeSource time)
            throws IOException, InterruptedException {
        PathProcesses processes = new PathProcesses(engineOptions("1"));
        HttpClients clients = new HttpClients(group, CONNECT_MILLIS);
        DaemonCaller daemon = new DaemonCaller(group, processes.daemon().callersUrl(), MAX_TOKENS, time);
        try {
            List<Target> engines = listEngines(clients, processes.standIns().instanceListUrl());
            HttpTargetClientFactory targets = new HttpTargetClientFactory(clients, time, TargetTimeouts.DEFAULT);
            DirectCaller direct = new DirectCaller(targets, engines, "booking-model", MAX_TOKENS, time);
            new PathLoad(daemon, "warm", ANSWER_TOKENS, MAX_TOKENS).run(WARM_REQUESTS, LATENCY_CONCURRENT);
            new PathLoad(direct, "warm-direct", ANSWER_TOKENS, MAX_TOKENS).run(WARM_REQUESTS, LATENCY_CONCURRENT);
            Latencies latencies = new Latencies(
                    new PathLoad(direct, "direct", ANSWER_TOKENS, MAX_TOKENS),
                    new PathLoad(daemon, "daemon", ANSWER_TOKENS, MAX_TOKENS));
            for (int i = 0; i < (quick ? 4 : 24); i++) {
                latencies.alone().run(LATENCY_CONCURRENT * 5, LATENCY_CONCURRENT);
                latencies.viaDaemon().run(LATENCY_CONCURRENT * 5, LATENCY_CONCURRENT);
            }
            return latencies;
        } finally {
            daemon.close();
            clients.close();
            processes.stop();
        }
    }

    private static String[] engineOptions(String stepMillis) {
        return new String[] {
            "--engines",
            Integer.toString(ENGINES),
            "--groups",
            "booking",
            "--max-sequences",
            "1000",
            "--step-millis",
            stepMillis,
            "--step-per-sequence-millis",
            "0",
            "--prefill-tokens-per-second",
            "1000000000",
            "--list-lag-millis",
            "0"
        };
    }

    private static MeasurementReport report(
            PathProcesses processes, Latencies latencies, PathLoad many, Spent spent, List<Integer> liveHeap)
            throws IOException {
        PathLoad alone = latencies.alone();
        PathLoad viaDaemon = latencies.viaDaemon();
        double addedP50 = millis(viaDaemon.firstToken(), 50) - millis(alone.firstToken(), 50);
        double addedP99 = millis(viaDaemon.firstToken(), 99) - millis(alone.firstToken(), 99);
        double perCore = many.right() / (spent.cpu().toNanos() / 1e9);
        List<Integer> heap = processes.heapAfterCollectionMegabytes();
        int second = liveHeap.get(1);
        int last = liveHeap.get(liveHeap.size() - 1);
        int strayed = alone.crossed() + viaDaemon.crossed() + many.crossed();
        int wrong = alone.wrong() + viaDaemon.wrong() + many.wrong();
        List<MeasurementTable> tables = List.of(
                latencyTable(alone, viaDaemon),
                new MeasurementTable(
                        CONCURRENT + " streamed requests at once, " + ANSWER_TOKENS + " tokens each",
                        List.of(
                                "right",
                                "crossed",
                                "wrong",
                                "seconds",
                                "requests/s",
                                "daemon cores",
                                "requests/s per core"),
                        List.of(List.of(
                                "" + many.right(),
                                "" + many.crossed(),
                                "" + many.wrong(),
                                number(spent.elapsed().toMillis() / 1e3),
                                number(many.right() / (spent.elapsed().toNanos() / 1e9)),
                                number((double) spent.cpu().toNanos()
                                        / spent.elapsed().toNanos()),
                                number(perCore)))),
                new MeasurementTable(
                        "heap of the daemon under -Xmx128m [MB]",
                        List.of(
                                "live after each of " + HEAP_ROUNDS + " rounds",
                                "most after any collection",
                                "collections"),
                        List.of(List.of(
                                liveHeap.toString(),
                                ""
                                        + heap.stream()
                                                .mapToInt(Integer::intValue)
                                                .max()
                                                .orElse(0),
                                "" + heap.size()))));
        List<MeasurementBound> bounds = List.of(
                new MeasurementBound("crossed answers = 0", "" + strayed, strayed == 0),
                new MeasurementBound(
                        "wrong answers = 0", wrong + (wrong == 0 ? "" : ", such as: " + many.example()), wrong == 0),
                new MeasurementBound(
                        "live heap after the last round at most " + MOST_HEAP_GROWTH + " times the second's",
                        last + " after " + second + " MB",
                        last <= second * MOST_HEAP_GROWTH),
                new MeasurementBound(
                        "the daemon runs to the end", "" + processes.daemonAlive(), processes.daemonAlive()));
        String headline = String.format(
                Locale.ROOT,
                "path: %d concurrent, %d crossed; first token %+.2f ms p50, %+.2f ms p99;"
                        + " %.0f requests/s per core; live heap %d MB",
                CONCURRENT,
                strayed,
                addedP50,
                addedP99,
                perCore,
                last);
        return new MeasurementReport(tables, bounds, headline);
    }

    private static MeasurementTable latencyTable(PathLoad alone, PathLoad viaDaemon) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(latencyRow("engine directly", alone));
        rows.add(latencyRow("through the daemon", viaDaemon));
        rows.add(List.of(
                "added",
                "",
                difference(alone.firstToken(), viaDaemon.firstToken(), 50),
                difference(alone.firstToken(), viaDaemon.firstToken(), 99),
                difference(alone.total(), viaDaemon.total(), 50),
                difference(alone.total(), viaDaemon.total(), 99)));
        return new MeasurementTable(
                "latency, " + LATENCY_CONCURRENT + " at once, rounds in turn [ms]",
                List.of("way", "requests", "first token p50", "first token p99", "whole p50", "whole p99"),
                rows);
    }

    private static List<String> latencyRow(String way, PathLoad load) {
        return List.of(
                way,
                "" + load.right(),
                number(millis(load.firstToken(), 50)),
                number(millis(load.firstToken(), 99)),
                number(millis(load.total(), 50)),
                number(millis(load.total(), 99)));
    }

    private static String difference(Histogram from, Histogram to, double percentile) {
        return number(millis(to, percentile) - millis(from, percentile));
    }

    private static double millis(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.2f", value);
    }

    private static List<Target> listEngines(HttpClients clients, String instanceListUrl) {
        return new HttpInstanceList(clients.pooledCaller(1 << 20), instanceListUrl)
                .read().toCompletableFuture().join().orElseThrow().stream()
                        .filter(line -> line.kind() == ListedInstance.Kind.ENGINE)
                        .map(line -> new Target(line.name(), line.host(), line.port(), line.dataCentre(), line.group()))
                        .toList();
    }

    private record Latencies(PathLoad alone, PathLoad viaDaemon) {}

    private record Spent(Duration elapsed, Duration cpu) {

        Spent plus(Spent more) {
            return new Spent(elapsed.plus(more.elapsed), cpu.plus(more.cpu));
        }
    }

    private record Load(PathLoad load, int count, int concurrent) {

        Spent run(PathProcesses processes, SystemTimeSource time) {
            long startNanos = time.monotonicNanos();
            Duration cpuBefore = processes.daemonCpu();
            load.run(count, concurrent);
            Duration cpu = processes.daemonCpu().minus(cpuBefore);
            return new Spent(Duration.ofNanos(time.monotonicNanos() - startNanos), cpu);
        }
    }
}
