package org.dogwoodwinch.queueing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class OwnerSharesTest {

    private final OwnerShares shares = new OwnerShares();

    @Test
    void ownerWithMuchMoreThanTheMeanIsAboveItsShareUntilItPauses() {
        shares.recordRelease("large", 1_000, 0);
        for (int i = 0; i < 9; i++) {
            shares.recordRelease("owner-" + i, 100, 0);
        }
        assertFalse(shares.isAboveShare("large", 0), "capacity is not short");
        shares.recordShortage(0);
        assertTrue(shares.isAboveShare("large", 0));
        assertFalse(shares.isAboveShare("owner-1", 0));
        assertFalse(shares.isAboveShare("unknown", 0));

        for (int i = 0; i < 9; i++) {
            shares.recordRelease("owner-" + i, 200, 8_000);
        }
        shares.recordShortage(8_000);
        assertFalse(shares.isAboveShare("large", 8_000));
    }

    @Test
    void onlyOwnerIsNeverAboveItsShare() {
        shares.recordRelease("large", 1_000_000, 0);
        shares.recordShortage(0);

        assertFalse(shares.isAboveShare("large", 0));
    }

    /** Guards against an owner that gets its share at each instance and a multiple of it in the fleet. */
    @Test
    void useAtOtherInstancesCounts() {
        OwnerShares other = new OwnerShares();
        other.recordRelease("large", 10_000, 0);
        shares.recordRelease("large", 100, 0);
        shares.recordRelease("small", 100, 0);
        shares.recordRelease("third", 100, 0);
        shares.recordShortage(0);
        assertFalse(shares.isAboveShare("large", 0));

        shares.recordReport(other.takeReport(), 0);

        assertTrue(shares.isAboveShare("large", 0));
    }

    /** Guards against reports that grow with the number of owners. */
    @Test
    void reportNamesLargestOwnersAndStartsAgain() {
        for (int i = 0; i < 100; i++) {
            shares.recordRelease("owner-" + i, 1 + i, 0);
        }
        OwnerShares.Report report = shares.takeReport();

        assertEquals(OwnerShares.MAX_NAMED_OWNERS, report.workByOwner().size());
        assertEquals(100, report.workByOwner().get("owner-99"));
        assertEquals(84 * 85 / 2, report.restWork());
        assertEquals(0, shares.takeReport().workByOwner().size());
    }
}
