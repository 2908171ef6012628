package org.dogwoodwinch.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.dogwoodwinch.authority.FencingTokenRule;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueCodec;
import org.dogwoodwinch.catalogue.SampleCatalogues;
import org.junit.jupiter.api.Test;

/**
 * Verifies that the checkers detect a violation when a safeguard is removed. {@link OrderPauseTest} holds the mutant
 * without fencing.
 */
class ControlMutantsTest {

    private static final CheckpointRule ACCEPT_ANY_CHECKPOINT = (_coveredOffset, _firstReadOffset) -> true;

    /** Without the margin, a partitioned holder with a slow clock and a claimant with a fast one hold one lease. */
    @Test
    void zeroLeaseMarginLetsTwoInstancesHoldOneGroup() {
        ControlSimulation safe = runWithPartitionedHolder(ControlSimulation.POLICIES);
        assertEquals(List.of(), safe.violations);
        ControlSimulation mutant = runWithPartitionedHolder(
                ControlSimulation.policies(CheckpointRule.NO_MISSING_RECORDS, 0, FencingTokenRule.INTENT_OFFSET));
        assertTrue(
                mutant.violations.stream().anyMatch(violation -> violation.contains("is held by")),
                () -> "no overlapping leases: " + mutant.violations);
    }

    /** A checkpoint appended more than the retention period after its snapshot lacks the edits in between. */
    @Test
    void uncheckedCheckpointLosesEditsAfterRestart() {
        assertEquals(List.of(), violationsAfterLateCheckpoint(ControlSimulation.POLICIES));
        List<String> violations = violationsAfterLateCheckpoint(
                ControlSimulation.policies(ACCEPT_ANY_CHECKPOINT, 500, FencingTokenRule.INTENT_OFFSET));
        assertTrue(
                violations.stream().anyMatch(violation -> violation.contains("did not reach")),
                () -> "no lost edit: " + violations);
    }

    private static ControlSimulation runWithPartitionedHolder(ControlPolicies policies) {
        ControlSimulation simulation = new ControlSimulation(3, policies);
        simulation.advance(2_000);
        simulation.instance(0).network.setPartitioned(true);
        simulation.advance(10_000);
        return simulation;
    }

    private static List<String> violationsAfterLateCheckpoint(ControlPolicies policies) {
        ControlSimulation simulation = new ControlSimulation(3, policies);
        simulation.advance(1_000);
        edit(simulation, 0);
        simulation.instance(2).network.setAppendDelayMillis(3 * ControlSimulation.RETENTION_MILLIS / 2);
        int editCount = 1;
        for (int second = 0; second < 60; second++) {
            simulation.advance(500);
            edit(simulation, editCount++);
            simulation.advance(500);
            if (second > 25) {
                simulation.restart(1);
                simulation.advance(1_000);
                simulation.checkStatesConverged();
            }
        }
        return simulation.violations;
    }

    private static void edit(ControlSimulation simulation, int number) {
        Catalogue base = simulation.referenceState().catalogueState().catalogue();
        Catalogue wanted = SampleCatalogues.withDeadline(base.revision(), number + 1);
        simulation
                .instance(0)
                .node
                .applyEdit(new EditRequest("e" + number, "meera", new CatalogueCodec().write(wanted)));
    }
}
