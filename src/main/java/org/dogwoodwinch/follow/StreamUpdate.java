package org.dogwoodwinch.follow;

import java.util.List;
import java.util.Objects;

/**
 * An update that an instance which reads a stream sends to the other instances of its data centre.
 *
 * @param stream the stream's name, not null
 * @param isSnapshot whether the records are a snapshot with the newest record of each key, instead of those from the first
 *     offset on
 * @param records the records in order, not null; unless this is a snapshot, records that leave their key's state
 *     unchanged are omitted
 * @param firstOffset the offset at which the records begin: a receiver that has all records before it misses none
 * @param nextOffset the offset after the last record; the sender has read everything before it
 * @param contactAgeMillis the time since the platform answered the sender's last read, when the update was created
 */
public record StreamUpdate(
        String stream,
        boolean isSnapshot,
        List<KeyedRecord> records,
        long firstOffset,
        long nextOffset,
        long contactAgeMillis) {

    /**
     * The contact age of an update whose age is unknown; it exceeds every limit, so that such an update replaces no
     * read.
     */
    public static final long UNKNOWN_AGE_MILLIS = 3_600_000;

    /** Copies the records. */
    public StreamUpdate {
        Objects.requireNonNull(stream, "stream");
        records = List.copyOf(records);
    }
}
