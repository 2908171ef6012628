package org.dogwoodwinch.history;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/** All nine checkers. */
public final class HistoryChecks {

    private final List<PropertyChecker> checkers;

    /**
     * Creates the checkers.
     *
     * @param settings their bounds, not null
     */
    public HistoryChecks(CheckSettings settings) {
        this.checkers = List.of(
                new ConflictingOrdersChecker(),
                new PlannedChangeChecker(),
                new LostAuthorityChecker(),
                new WholeAnswerChecker(),
                new NotRunChecker(),
                new AtMostOnceChecker(),
                new LeavingTargetChecker(settings.leavingGraceMillis()),
                new PlannedStopChecker(),
                new CatalogueChecker(settings.inForceWithinMillis()));
    }

    /**
     * Creates the checkers with the standard bounds.
     *
     * @return the checkers
     */
    public static HistoryChecks standard() {
        return new HistoryChecks(CheckSettings.STANDARD);
    }

    /**
     * Judges all nine properties.
     *
     * @param history the history, not null
     * @return the verdict
     */
    public HistoryVerdict judge(History history) {
        return judge(history, EnumSet.allOf(Property.class));
    }

    /**
     * Judges some properties, for a test whose run is about these alone.
     *
     * @param history the history, not null
     * @param first one property, not null
     * @param others further ones, not null
     * @return the verdict
     */
    public HistoryVerdict judge(History history, Property first, Property... others) {
        return judge(history, EnumSet.of(first, others));
    }

    private HistoryVerdict judge(History history, Set<Property> wanted) {
        return new HistoryVerdict(checkers.stream()
                .filter(checker -> wanted.contains(checker.property()))
                .map(checker -> checker.check(history))
                .toList());
    }
}
