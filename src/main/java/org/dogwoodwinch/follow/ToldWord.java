package org.dogwoodwinch.follow;

import java.util.List;
import java.util.Objects;

/**
 * What an instance that reads a stream tells the others of its data centre.
 *
 * @param stream the stream's name, not null
 * @param records the newest records, in order and without a gap, not null
 * @param nextOffset the offset behind the last one: the teller has read everything before it
 * @param contactAgeMillis how long ago the platform answered the teller's last reading call, when this was said
 */
public record ToldWord(String stream, List<KeyedRecord> records, long nextOffset, long contactAgeMillis) {

    /** Copies. */
    public ToldWord {
        Objects.requireNonNull(stream, "stream");
        records = List.copyOf(records);
    }

    /**
     * Returns where the records begin.
     *
     * @return the first record's offset, or the next offset where there is no record
     */
    public long firstOffset() {
        return records.isEmpty() ? nextOffset : records.get(0).offset();
    }
}
