package org.dogwoodwinch.follow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;
import org.junit.jupiter.api.Test;

class StreamBacklogTest {

    private final StreamBacklog backlog = new StreamBacklog(3);

    private static KeyedRecord record(long offset) {
        return new KeyedRecord("k", offset, Optional.of(Bytes.ofUtf8("v")));
    }

    @Test
    void adjacentRangesAreReadAsOne() {
        backlog.add(List.of(record(4)), 4, 5);
        backlog.add(List.of(record(5)), 5, 7);

        assertEquals(Optional.of(new ReadResult.Batch(List.of(record(4), record(5)), 7)), backlog.read(4));
        assertEquals(Optional.of(new ReadResult.Batch(List.of(), 7)), backlog.read(6));
        assertEquals(Optional.empty(), backlog.read(7));
        assertEquals(Optional.empty(), backlog.read(3));
    }

    @Test
    void overlappingRangeAddsOnlyWhatIsNew() {
        backlog.add(List.of(record(4), record(5)), 4, 6);
        backlog.add(List.of(record(5), record(6)), 5, 7);
        backlog.add(List.of(record(4)), 4, 5);

        assertEquals(List.of(record(4), record(5), record(6)), backlog.recordsFrom(0));
    }

    @Test
    void rangeAfterGapReplacesTheKnownOne() {
        backlog.add(List.of(record(4)), 4, 5);
        backlog.add(List.of(record(9)), 9, 10);

        assertEquals(Optional.empty(), backlog.read(4));
        assertEquals(9, backlog.firstOffset());
    }

    @Test
    void oldestRecordsAreForgotten() {
        backlog.add(List.of(record(1), record(2), record(3), record(4)), 1, 5);

        assertEquals(Optional.empty(), backlog.read(1));
        assertEquals(2, backlog.firstOffset());
        assertTrue(backlog.endsAfter(4));
        assertFalse(backlog.endsAfter(5));
    }

    @Test
    void clearedBacklogTakesAnEarlierRange() {
        backlog.add(List.of(record(9)), 9, 10);
        backlog.clear();
        backlog.add(List.of(record(1)), 1, 2);

        assertEquals(List.of(record(1)), backlog.recordsFrom(0));
    }
}
