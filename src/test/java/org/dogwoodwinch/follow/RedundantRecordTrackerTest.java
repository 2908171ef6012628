package org.dogwoodwinch.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;
import org.junit.jupiter.api.Test;

class RedundantRecordTrackerTest {

    private final RedundantRecordTracker tracker = new RedundantRecordTracker(RedundantRecordTrackerTest::stateOf, 4);

    /** The entries of this test consist of a state and a count that grows with each renewal. */
    private static Object stateOf(KeyedRecord record) {
        return record.value()
                .map(value -> new String(value.toByteArray(), java.nio.charset.StandardCharsets.UTF_8).charAt(0))
                .map(Object.class::cast)
                .orElse("gone");
    }

    private static KeyedRecord entry(long offset, String text) {
        return new KeyedRecord("engine", offset, text.isEmpty() ? Optional.empty() : Optional.of(Bytes.ofUtf8(text)));
    }

    @Test
    void renewalIsRedundantAndStateChangeIsNot() {
        assertTrue(tracker.observe(0, 1, List.of(entry(0, "ready 1"))));
        assertFalse(tracker.observe(1, 2, List.of(entry(1, "ready 2"))));
        assertTrue(tracker.isRedundant(1));
        assertTrue(tracker.observe(2, 4, List.of(entry(2, "leaving 3"), entry(3, ""))));
        assertFalse(tracker.isRedundant(2));
        assertFalse(tracker.isRedundant(3));
    }

    /** Guards against omitting a change after a skipped record, so that others avoid a target that is ready again. */
    @Test
    void recordsAfterGapAreNotRedundant() {
        tracker.observe(0, 1, List.of(entry(0, "ready 1")));
        assertTrue(tracker.observe(2, 3, List.of(entry(2, "ready 3"))));
        assertFalse(tracker.isRedundant(2));
    }

    @Test
    void remembersOnlyLatestOffsets() {
        tracker.observe(0, 1, List.of(entry(0, "ready 0")));
        for (long offset = 1; offset <= 6; offset++) {
            tracker.observe(offset, offset + 1, List.of(entry(offset, "ready " + offset)));
        }
        assertEquals(
                List.of(3L, 4L, 5L, 6L),
                List.of(1L, 2L, 3L, 4L, 5L, 6L).stream()
                        .filter(tracker::isRedundant)
                        .toList());
    }
}
