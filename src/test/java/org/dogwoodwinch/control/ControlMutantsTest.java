package org.dogwoodwinch.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.dogwoodwinch.authority.FencingTokenRule;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueCodec;
import org.dogwoodwinch.catalogue.SampleCatalogues;
import org.junit.jupiter.api.Test;

/** Shows that the checkers see what goes wrong without a safeguard; the fencing mutant is in {@link OrderPauseTest}. */
class ControlMutantsTest {

    private static final CheckpointRule ANY_CHECKPOINT = (_covered, _firstRead) -> true;

    /**
     * The holder's clock is slow, the claimant's fast, and the holder is cut off. Without a margin both act for a group at
     * one time; with it the holder has stopped before.
     */
    @Test
    void withoutAMarginTwoInstancesHoldOneGroup() {
        ControlWorld sound = holderCutOff(ControlWorld.POLICIES);
        assertEquals(List.of(), sound.violations);
        ControlWorld mutant = holderCutOff(
                ControlWorld.policies(CheckpointRule.ALL_RECORDS_AT_HAND, 0, FencingTokenRule.INTENT_OFFSET));
        assertTrue(
                mutant.violations.stream().anyMatch(each -> each.contains("is held by")),
                () -> "no overlap: " + mutant.violations);
    }

    /**
     * A writer is held up for longer than records are kept between copying its state and appending it. An instance that
     * starts later and builds on that checkpoint lacks the edits in between, for good; the rule makes it wait for another.
     */
    @Test
    void withoutTheRuleAStarterBuildsOnACheckpointWithAGap() {
        assertEquals(List.of(), startsAfterALateCheckpoint(ControlWorld.POLICIES));
        List<String> violations =
                startsAfterALateCheckpoint(ControlWorld.policies(ANY_CHECKPOINT, 500, FencingTokenRule.INTENT_OFFSET));
        assertTrue(violations.stream().anyMatch(each -> each.contains("did not reach")), () -> "none: " + violations);
    }

    private static ControlWorld holderCutOff(ControlPolicies policies) {
        ControlWorld world = new ControlWorld(3, policies);
        world.run(2_000);
        world.instance(0).network.setCut(true);
        world.run(10_000);
        return world;
    }

    private static List<String> startsAfterALateCheckpoint(ControlPolicies policies) {
        ControlWorld world = new ControlWorld(3, policies);
        world.run(1_000);
        edit(world, 0);
        world.instance(2).network.setAppendDelayMillis(3 * ControlWorld.RETENTION_MILLIS / 2);
        int edits = 1;
        for (int second = 0; second < 60; second++) {
            world.run(500);
            edit(world, edits++);
            world.run(500);
            if (second > 25) {
                world.restart(1);
                world.run(1_000);
                world.checkSameStateEverywhere();
            }
        }
        return world.violations;
    }

    private static void edit(ControlWorld world, int number) {
        Catalogue base = world.truth().catalogue().catalogue();
        Catalogue wanted = SampleCatalogues.withDeadline(base.revision(), number + 1);
        world.instance(0).node.applyEdit(new EditRequest("e" + number, "meera", new CatalogueCodec().write(wanted)));
    }
}
