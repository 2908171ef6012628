package org.dogwoodwinch.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;
import org.junit.jupiter.api.Test;

class RedundantRecordTrackerTest {

    private final RedundantRecordTracker repeated = new RedundantRecordTracker(RedundantRecordTrackerTest::state, 4);

    /** The entries of this test consist of a state and a count that grows with each renewal. */
    private static Object state(KeyedRecord record) {
        return record.value()
                .map(value -> new String(value.toByteArray(), java.nio.charset.StandardCharsets.UTF_8).charAt(0))
                .map(Object.class::cast)
                .orElse("gone");
    }

    private static KeyedRecord entry(long offset, String text) {
        return new KeyedRecord("engine", offset, text.isEmpty() ? Optional.empty() : Optional.of(Bytes.ofUtf8(text)));
    }

    @Test
    void aRenewedEntrySaysNothingNewAndAChangedOneDoes() {
        assertTrue(repeated.observe(0, 1, List.of(entry(0, "ready 1"))));
        assertFalse(repeated.observe(1, 2, List.of(entry(1, "ready 2"))));
        assertTrue(repeated.isRedundant(1));
        assertTrue(repeated.observe(2, 4, List.of(entry(2, "leaving 3"), entry(3, ""))));
        assertFalse(repeated.isRedundant(2));
        assertFalse(repeated.isRedundant(3));
    }

    /** Guards against dropping a changed state as redundant after the reader skipped a record of the same key. */
    @Test
    void behindAGapEverythingIsNew() {
        repeated.observe(0, 1, List.of(entry(0, "ready 1")));
        assertTrue(repeated.observe(2, 3, List.of(entry(2, "ready 3"))));
        assertFalse(repeated.isRedundant(2));
    }

    @Test
    void onlyTheLatestOffsetsAreRemembered() {
        repeated.observe(0, 1, List.of(entry(0, "ready 0")));
        for (long offset = 1; offset <= 6; offset++) {
            repeated.observe(offset, offset + 1, List.of(entry(offset, "ready " + offset)));
        }
        assertEquals(
                List.of(3L, 4L, 5L, 6L),
                List.of(1L, 2L, 3L, 4L, 5L, 6L).stream()
                        .filter(repeated::isRedundant)
                        .toList());
    }
}
