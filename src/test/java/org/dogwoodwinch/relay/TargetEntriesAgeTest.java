package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TargetEntriesAgeTest {

    /** Guards against a late call of which no line tells. */
    @Test
    void entriesAreOldBeyondNineTenthsOfPromisedTime() {
        TargetEntriesAge age = new TargetEntriesAge(() -> 0, 2_000);

        assertFalse(age.isOld(1_800));
        assertTrue(age.isOld(1_801));
    }
}
