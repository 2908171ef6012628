package org.dogwoodwinch.follow;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;

/**
 * Which records of one reader's readings say the same as the one before of their key. Not thread-safe.
 *
 * <p>Failure: a record is passed over as repeated though another one, which this reader did not see, stood between the two:
 * whoever saw that one would hold to it for good. So behind a gap everything is new.
 */
final class RedundantRecordTracker {

    private final Function<KeyedRecord, Object> stateFunction;
    private final int maxOffsets;
    private final Map<String, Object> lastStates = new HashMap<>();
    private final Deque<Long> redundantOffsets = new ArrayDeque<>();
    private long endOffset = -1;

    /**
     * Creates a judgement that has seen nothing.
     *
     * @param stateFunction what a record says; two that say the same are equal, not null
     * @param maxOffsets the repeated records that are remembered
     */
    RedundantRecordTracker(Function<KeyedRecord, Object> stateFunction, int maxOffsets) {
        this.stateFunction = Objects.requireNonNull(stateFunction, "stateFunction");
        this.maxOffsets = maxOffsets;
    }

    /** Takes the records of a reading; returns whether one of them says something new. */
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

    /** Whether the record at an offset is one that said nothing new. */
    boolean isRedundant(long offset) {
        return redundantOffsets.contains(offset);
    }
}
