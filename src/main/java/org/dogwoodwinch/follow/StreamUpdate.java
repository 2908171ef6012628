package org.dogwoodwinch.follow;

import java.util.List;
import java.util.Objects;

/**
 * What an instance that reads a stream tells the others of its data centre.
 *
 * @param stream the stream's name, not null
 * @param whole whether the records are the newest of each key, not those from the first offset on
 * @param records in order; of those from the first offset on only what says something new of its key, not null
 * @param firstOffset where the records begin: whoever has read everything before it misses nothing
 * @param nextOffset the offset behind the last one: the relay has read everything before it
 * @param contactAgeMillis how long ago the platform answered the relay's last reading call, when this was said
 */
public record StreamUpdate(
        String stream,
        boolean whole,
        List<KeyedRecord> records,
        long firstOffset,
        long nextOffset,
        long contactAgeMillis) {

    /** The age of what nobody can tell the age of: it stands for no reading. */
    public static final long UNKNOWN_AGE_MILLIS = 3_600_000;

    /** Copies. */
    public StreamUpdate {
        Objects.requireNonNull(stream, "stream");
        records = List.copyOf(records);
    }
}
