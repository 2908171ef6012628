package org.dogwoodwinch.measure;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;

/** Time and memory of one routing decision at today's and at the target size. */
public final class RoutingMeasurement implements Measurement {

    private static final String BYTES = "gc.alloc.rate.norm";
    private static final double MOST_GROWTH = 3;
    private static final double PERCENT = 100;
    private static final double DECISIONS_PER_SECOND = 52_000.0 / 480;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double CONTROL_SHARE_PERCENT = 1.5;

    @Override
    public String name() {
        return "routing";
    }

    @Override
    public String description() {
        return "Nanoseconds and bytes of one routing decision at 11, 440 and 4,400 targets (JMH).";
    }

    @Override
    public MeasurementReport run(boolean quick) {
        List<List<String>> rows = new ArrayList<>();
        List<Double> nanos = new ArrayList<>();
        for (RunResult result : results(quick)) {
            double each = result.getPrimaryResult().getScore();
            double bytes = result.getSecondaryResults().get(BYTES).getScore();
            nanos.add(each);
            rows.add(List.of(
                    result.getParams().getParam("targets"),
                    String.format(Locale.ROOT, "%.0f", each),
                    String.format(Locale.ROOT, "%.0f", bytes)));
        }
        double smallest = nanos.get(0);
        double largest = nanos.get(nanos.size() - 1);
        double slope = (largest - smallest) / (4_400 - 11);
        double sharePercent = PERCENT * DECISIONS_PER_SECOND * largest / NANOS_PER_SECOND;
        MeasurementBound growth = new MeasurementBound(
                "a decision among 4,400 targets costs at most 3 times one among 11",
                String.format(Locale.ROOT, "%.2f times", largest / smallest),
                largest <= MOST_GROWTH * smallest);
        MeasurementBound share = new MeasurementBound(
                "52,000 decisions a second over 480 nodes take at most 1.5% of a core each",
                String.format(Locale.ROOT, "%.2f%%", sharePercent), sharePercent <= CONTROL_SHARE_PERCENT);
        MeasurementTable table = new MeasurementTable("one routing decision", List.of("targets", "ns", "bytes"), rows);
        String headline = String.format(
                Locale.ROOT, "%.0f ns a decision at 4,400 targets, slope %.3f ns a target", largest, slope);
        return new MeasurementReport(List.of(table), List.of(growth, share), headline);
    }

    /** In this process: the launcher starts no other one, and the figures compare with each other only. */
    private static Collection<RunResult> results(boolean quick) {
        TimeValue iteration = TimeValue.milliseconds(quick ? 800 : 3_000);
        try {
            return new Runner(new OptionsBuilder()
                            .include(RoutingBenchmark.class.getSimpleName())
                            .forks(0)
                            .warmupIterations(3)
                            .warmupTime(iteration)
                            .measurementIterations(quick ? 3 : 8)
                            .measurementTime(iteration)
                            .addProfiler(GCProfiler.class)
                            .verbosity(VerboseMode.SILENT)
                            .build())
                    .run();
        } catch (RunnerException e) {
            throw new IllegalStateException("the benchmark did not run", e);
        }
    }
}
