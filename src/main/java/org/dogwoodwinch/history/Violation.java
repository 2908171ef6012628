package org.dogwoodwinch.history;

import java.util.List;
import java.util.Objects;

/**
 * One breach of a property.
 *
 * @param rule a stable name of the way in which it was broken, not null
 * @param explanation a sentence for people, not null
 * @param excerpt the fewest events that show it, in order of time: without any one of them there is no breach, not null
 */
public record Violation(String rule, String explanation, List<HistoryEvent> excerpt) {

    /** Checks the parts and sorts the excerpt. */
    public Violation {
        Objects.requireNonNull(rule, "rule");
        Objects.requireNonNull(explanation, "explanation");
        excerpt = new History(excerpt).events();
    }

    /**
     * Creates a violation.
     *
     * @param rule a stable name of the way in which it was broken, not null
     * @param explanation a sentence for people, not null
     * @param excerpt the fewest events that show it, not null
     * @return the violation
     */
    public static Violation of(String rule, String explanation, HistoryEvent... excerpt) {
        return new Violation(rule, explanation, List.of(excerpt));
    }
}
