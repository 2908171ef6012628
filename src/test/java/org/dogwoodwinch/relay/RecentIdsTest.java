package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RecentIdsTest {

    @Test
    void lastIdsAreKnownAndOldOnesForgotten() {
        RecentIds ids = new RecentIds();
        for (int i = 0; i < 300; i++) {
            assertFalse(ids.contains("id-" + i));
            ids.add("id-" + i);
            assertTrue(ids.contains("id-" + i));
        }
        assertTrue(ids.contains("id-44"));
        assertFalse(ids.contains("id-43"));
    }
}
