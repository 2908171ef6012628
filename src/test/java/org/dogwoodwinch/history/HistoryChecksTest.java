package org.dogwoodwinch.history;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** A checker is worth its mutants: each is caught in any run, and runs in which everything held pass. */
class HistoryChecksTest {

    private final HistoryChecks checks = HistoryChecks.standard();

    @Property(seed = "1", tries = 500)
    void aRunInWhichEverythingHeldPasses(@ForAll long seed) {
        HistoryVerdict verdict = checks.judge(GeneratedHistory.of(seed));
        assertTrue(verdict.held(), verdict::toText);
        assertTrue(verdict.allAtStake(), verdict::toText);
    }

    @Property(seed = "2", tries = 1_000)
    void eachMutantIsCaughtWithAnExcerptThatShowsNoMoreThanTheBreach(
            @ForAll long seed, @ForAll("mutants") HistoryMutant mutant) {
        HistoryVerdict verdict = checks.judge(mutant.of(GeneratedHistory.of(seed)), mutant.property());
        Violation caught = verdict.results().get(0).violations().stream()
                .filter(violation -> violation.rule().equals(mutant.rule()))
                .findFirst()
                .orElseThrow(() -> new AssertionError(mutant + " was not caught"));
        if (!mutant.name().equals("DEAF_INSTANCE")) {
            assertShowsTheBreach(mutant, caught.excerpt());
        }
    }

    @Provide
    Arbitrary<HistoryMutant> mutants() {
        return Arbitraries.of(HistoryMutant.ALL);
    }

    @Test
    void everyPropertyHasAMutant() {
        Set<org.dogwoodwinch.history.Property> covered =
                HistoryMutant.ALL.stream().map(HistoryMutant::property).collect(Collectors.toSet());
        assertEquals(EnumSet.allOf(org.dogwoodwinch.history.Property.class), covered);
    }

    @Test
    void anEmptyHistoryHoldsAndProvesNothing() {
        HistoryVerdict verdict = checks.judge(new History(List.of()));
        assertTrue(verdict.held());
        assertFalse(verdict.allAtStake());
        assertTrue(verdict.toText().contains("not at stake"));
    }

    @Test
    void theTextShowsTheRuleAndTheExcerpt() {
        History history = HistoryMutant.named("RUN_TWICE").of(GeneratedHistory.of(7));
        String text = checks.judge(history).toText();
        assertTrue(text.contains("ran-twice: rbill may not be repeated and ran 2 times"), text);
        assertTrue(text.contains("\"attemptId\":\"bill@e3\""), text);
    }

    private void assertShowsTheBreach(HistoryMutant mutant, List<HistoryEvent> excerpt) {
        assertTrue(breaks(mutant, excerpt), () -> mutant + " is not shown by " + excerpt);
        for (int i = 0; i < excerpt.size(); i++) {
            List<HistoryEvent> less = new ArrayList<>(excerpt);
            HistoryEvent left = less.remove(i);
            assertFalse(breaks(mutant, less), () -> mutant + " does not need " + left);
        }
    }

    private boolean breaks(HistoryMutant mutant, List<HistoryEvent> events) {
        return checks.judge(new History(events), mutant.property()).results().get(0).violations().stream()
                .anyMatch(violation -> violation.rule().equals(mutant.rule()));
    }
}
