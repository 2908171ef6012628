package org.dogwoodwinch.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Verifies that all instances together stay within a limit under message loss, partitions, pauses and restarts. */
class LimitShareExchangeTest {

    /** Two of the six instances that use the same unit at once, after any fault, would exceed the owner's limit. */
    @Property(seed = "6", tries = 250)
    void totalUnitsInUseNeverExceedTheLimit(@ForAll long seed) {
        LimitShareSimulation simulation = new LimitShareSimulation(seed, GrantExpiryRule.FROM_BORROWER_STAMP, true);
        assertEquals(-1, simulation.firstStepExceedingLimit(600));
    }

    /**
     * A borrower that counts the term from the arrival of the grant uses the units after its lender has reclaimed them.
     */
    @Test
    void countingATermFromArrivalOfTheGrantIsDetected() {
        assertTrue(exceedsLimitForSomeSeed((_echoStampMillis, nowMillis, termMillis) -> nowMillis + termMillis, true));
    }

    /** A restarted home that uses its units at once uses units that its previous incarnation lent. */
    @Test
    void usingHomeUnitsRightAfterARestartIsDetected() {
        assertTrue(exceedsLimitForSomeSeed(GrantExpiryRule.FROM_BORROWER_STAMP, false));
    }

    /** Units that do not move within seconds to the only instance with demand would leave most of the limit unused. */
    @Test
    void unitsMoveToTheOnlyInstanceWithDemand() {
        LimitShareSimulation simulation = new LimitShareSimulation(1, GrantExpiryRule.FROM_BORROWER_STAMP, true);
        simulation.runInitialSteps();
        assertTrue(simulation.peakUnitsWithSoleDemand(0) >= LimitShareSimulation.LIMIT_UNITS * 9 / 10);
        assertTrue(simulation.peakUnitsWithSoleDemand(3) >= LimitShareSimulation.LIMIT_UNITS * 9 / 10);
    }

    /** An instance without any peer must not lose its home units, nor keep borrowed ones. */
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
