package org.dogwoodwinch.history;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * What a checker found.
 *
 * @param property the property, not null
 * @param checked how many cases the history held in which the property was at stake; zero proves nothing
 * @param violations the breaches, not null
 */
public record CheckResult(Property property, long checked, List<Violation> violations) {

    /** Checks and copies the parts. */
    public CheckResult {
        Objects.requireNonNull(property, "property");
        violations = List.copyOf(violations);
    }

    /**
     * Says whether there was no breach.
     *
     * @return true also where nothing was at stake
     */
    public boolean held() {
        return violations.isEmpty();
    }

    /**
     * Returns the breach with the shortest excerpt.
     *
     * @return the breach, or empty where there was none
     */
    public Optional<Violation> shortest() {
        return violations.stream()
                .min(Comparator.comparingInt(violation -> violation.excerpt().size()));
    }
}
