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
final class RepeatedMeaning {

    private final Function<KeyedRecord, Object> meaning;
    private final int mostOffsets;
    private final Map<String, Object> last = new HashMap<>();
    private final Deque<Long> offsets = new ArrayDeque<>();
    private long endOffset = -1;

    /**
     * Creates a judgement that has seen nothing.
     *
     * @param meaning what a record says; two that say the same are equal, not null
     * @param mostOffsets the repeated records that are remembered
     */
    RepeatedMeaning(Function<KeyedRecord, Object> meaning, int mostOffsets) {
        this.meaning = Objects.requireNonNull(meaning, "meaning");
        this.mostOffsets = mostOffsets;
    }

    /** Takes the records of a reading; returns whether one of them says something new. */
    boolean read(long fromOffset, long nextOffset, List<KeyedRecord> records) {
        if (fromOffset != endOffset) {
            last.clear();
            offsets.clear();
        }
        endOffset = nextOffset;
        boolean news = false;
        for (KeyedRecord record : records) {
            Object said = meaning.apply(record);
            boolean same = said.equals(last.put(record.key(), said));
            if (same) {
                offsets.addLast(record.offset());
            } else {
                news = true;
            }
        }
        while (offsets.size() > mostOffsets) {
            offsets.removeFirst();
        }
        return news;
    }

    /** Whether the record at an offset is one that said nothing new. */
    boolean contains(long offset) {
        return offsets.contains(offset);
    }
}
