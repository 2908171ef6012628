package org.dogwoodwinch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The sum of what all instances use of an owner's limit, under message loss, partitions, pauses and restarts. */
class ShareExchangeTest {

    /**
     * Six instances share an owner's limit. Notes are lost, delayed, doubled and reordered, instances are cut off,
     * paused and restarted, while callers come to one instance now and to another then. An instance that used a unit
     * which another one uses too would break the owner's limit; its engines would then run more than was agreed.
     */
    @Property(seed = "6", tries = 250)
    void totalUnitsInUseNeverExceedTheLimit(@ForAll long seed) {
        LimitShareSimulation simulation = new LimitShareSimulation(seed, GrantExpiryRule.FROM_BORROWER_STAMP, true);
        assertEquals(-1, simulation.firstStepExceedingLimit(600));
    }

    /** The check must be able to fail: a borrower that counts a term from the grant's arrival outlives its grant. */
    @Test
    void countingATermFromArrivalOfTheGrantIsDetected() {
        assertTrue(exceedsLimitForSomeSeed((_echoStampMillis, nowMillis, termMillis) -> nowMillis + termMillis, true));
    }

    /** A restarted home that uses its units at once, forgetting what its former life lent, is caught too. */
    @Test
    void usingHomeUnitsRightAfterARestartIsDetected() {
        assertTrue(exceedsLimitForSomeSeed(GrantExpiryRule.FROM_BORROWER_STAMP, false));
    }

    /** Demand at one instance only: units follow it within seconds, so that little of the limit is wasted. */
    @Test
    void unitsMoveToTheOnlyInstanceWithDemand() {
        LimitShareSimulation simulation = new LimitShareSimulation(1, GrantExpiryRule.FROM_BORROWER_STAMP, true);
        simulation.runInitialSteps();
        assertTrue(simulation.peakUnitsWithSoleDemand(0) >= LimitShareSimulation.LIMIT_UNITS * 9 / 10);
        assertTrue(simulation.peakUnitsWithSoleDemand(3) >= LimitShareSimulation.LIMIT_UNITS * 9 / 10);
    }

    /** Cut off from everyone, an instance still has what is at home with it, and no more. */
    @Test
    void partitionedInstanceKeepsExactlyItsHomeUnits() {
        LimitShareSimulation simulation = new LimitShareSimulation(2, GrantExpiryRule.FROM_BORROWER_STAMP, true);
        simulation.runInitialSteps();
        simulation.partition(4);
        assertEquals(
                LimitShareSimulation.LIMIT_UNITS / LimitShareSimulation.INSTANCE_COUNT,
                simulation.peakUnitsWithSoleDemand(4));
    }

    private static boolean exceedsLimitForSomeSeed(GrantExpiryRule expiryRule, boolean waitsAfterRestart) {
        for (long seed = 0; seed < 400; seed++) {
            if (new LimitShareSimulation(seed, expiryRule, waitsAfterRestart).firstStepExceedingLimit(600) >= 0) {
                return true;
            }
        }
        return false;
    }
}
