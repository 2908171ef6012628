package org.dogwoodwinch.replay;

import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.function.ToDoubleFunction;

/**
 * The figures of one policy over several traces.
 *
 * @param policy the policy's name, not null
 * @param goodputPerSecond mean goodput, requests a second
 * @param boundShare goodput as a part of the hindsight bound
 * @param roleChanges role changes over all traces
 * @param firstTokenP95Millis mean of the traces' 95th percentiles, in milliseconds
 * @param betweenTokensP95Millis the same for the time between tokens, in milliseconds
 * @param prefixHitShare mean part of prompt tokens held by caches
 * @param refused requests refused over all traces
 * @param late requests whose deadline passed over all traces
 */
public record PolicyFigures(
        String policy,
        double goodputPerSecond,
        double boundShare,
        int roleChanges,
        double firstTokenP95Millis,
        double betweenTokensP95Millis,
        double prefixHitShare,
        int refused,
        int late) {

    /** The heads of {@link #cells()}. */
    public static final List<String> COLUMNS = List.of(
            "policy",
            "goodput /s",
            "of bound",
            "role changes",
            "p95 first token ms",
            "p95 between tokens ms",
            "prefix hits",
            "refused",
            "late");

    /** Checks the parts. */
    public PolicyFigures {
        Objects.requireNonNull(policy, "policy");
    }

    /**
     * Sums up results of one policy.
     *
     * @param results the results, at least one, not null
     * @return the figures
     */
    public static PolicyFigures of(List<ReplayResult> results) {
        double good = mean(results, ReplayResult::goodputPerSecond);
        return new PolicyFigures(
                results.get(0).policy(),
                good,
                good / mean(results, ReplayResult::boundPerSecond),
                results.stream().mapToInt(ReplayResult::roleChanges).sum(),
                mean(results, ReplayResult::firstTokenP95Millis),
                mean(results, ReplayResult::betweenTokensP95Millis),
                mean(results, ReplayResult::prefixHitShare),
                results.stream().mapToInt(ReplayResult::refused).sum(),
                results.stream().mapToInt(ReplayResult::late).sum());
    }

    /**
     * Returns the figures as a table's row.
     *
     * @return the cells under {@link #COLUMNS}
     */
    public List<String> cells() {
        return List.of(
                policy,
                format("%.2f", goodputPerSecond),
                format("%.3f", boundShare),
                Integer.toString(roleChanges),
                format("%.0f", firstTokenP95Millis),
                format("%.1f", betweenTokensP95Millis),
                format("%.3f", prefixHitShare),
                Integer.toString(refused),
                Integer.toString(late));
    }

    private static double mean(List<ReplayResult> results, ToDoubleFunction<ReplayResult> figure) {
        return results.stream().mapToDouble(figure).average().orElse(0);
    }

    private static String format(String pattern, double value) {
        return String.format(Locale.ROOT, pattern, value);
    }
}
