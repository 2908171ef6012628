package org.dogwoodwinch.history;

import java.util.List;

/**
 * What all checkers together found.
 *
 * @param results one result for each property that was judged, not null
 */
public record HistoryVerdict(List<CheckResult> results) {

    /** Copies the list. */
    public HistoryVerdict {
        results = List.copyOf(results);
    }

    /**
     * Says whether no property was broken.
     *
     * @return true also where nothing was at stake
     */
    public boolean held() {
        return results.stream().allMatch(CheckResult::held);
    }

    /**
     * Says whether each property was at stake at least once, so that "held" means something for each.
     *
     * @return whether no count of checked cases is zero
     */
    public boolean allAtStake() {
        return results.stream().allMatch(result -> result.checked() > 0);
    }

    /**
     * Formats the verdict: a line for each property, and the shortest excerpt of each that was broken.
     *
     * @return the text
     */
    public String toText() {
        StringBuilder text = new StringBuilder();
        text.append(String.format("%-13s %8s %7s  %s%n", "result", "checked", "broken", "property"));
        for (CheckResult result : results) {
            text.append(String.format(
                    "%-13s %8d %7d  %s%n",
                    word(result),
                    result.checked(),
                    result.violations().size(),
                    result.property().statement()));
            result.shortest().ifPresent(violation -> append(text, violation));
        }
        return text.toString();
    }

    private static String word(CheckResult result) {
        if (!result.held()) {
            return "BROKEN";
        }
        return result.checked() > 0 ? "held" : "not at stake";
    }

    private static void append(StringBuilder text, Violation violation) {
        text.append("    ").append(violation.rule()).append(": ").append(violation.explanation());
        text.append('\n');
        violation
                .excerpt()
                .forEach(event ->
                        text.append("    ").append(HistoryCodec.toLine(event)).append('\n'));
    }
}
