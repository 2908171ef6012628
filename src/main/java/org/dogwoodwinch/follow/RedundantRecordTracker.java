package org.dogwoodwinch.follow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;

/**
 * Determines which of the records that one reader reads leave the state of their key unchanged. Not thread-safe.
 *
 * <p>Failure: a record is dropped as redundant although another record of its key, which this reader did not read, lies
 * between it and the previous one. A receiver that has seen the record in between would keep that state for good. All
 * records after a gap therefore count as changes.
 */
final class RedundantRecordTracker {

    private final Function<KeyedRecord, Object> stateFunction;
    private final int maxOffsets;
    private final Map<String, Object> lastStates = new HashMap<>();
    private final Deque<Long> redundantOffsets = new ArrayDeque<>();
    private long endOffset = -1;

    /**
     * Creates a tracker that has observed no records.
     *
     * @param stateFunction returns the state that a record conveys; records with equal states are redundant, not null
     * @param maxOffsets the number of redundant records that are remembered
     */
    RedundantRecordTracker(Function<KeyedRecord, Object> stateFunction, int maxOffsets) {
        this.stateFunction = Objects.requireNonNull(stateFunction, "stateFunction");
        this.maxOffsets = maxOffsets;
    }

    /** Observes the records of one read, and returns whether any of them changes the state of its key. */
    boolean observe(long fromOffset, long nextOffset, List<KeyedRecord> records) {
        if (fromOffset != endOffset) {
            lastStates.clear();
            redundantOffsets.clear();
        }
        endOffset = nextOffset;
        boolean changed = false;
        for (KeyedRecord record : records) {
            Object state = stateFunction.apply(record);
            boolean unchanged = state.equals(lastStates.put(record.key(), state));
            if (unchanged) {
                redundantOffsets.addLast(record.offset());
            } else {
                changed = true;
            }
        }
        while (redundantOffsets.size() > maxOffsets) {
            redundantOffsets.removeFirst();
        }
        return changed;
    }

    /** Returns whether the record at an offset is remembered as redundant. */
    boolean isRedundant(long offset) {
        return redundantOffsets.contains(offset);
    }
}
