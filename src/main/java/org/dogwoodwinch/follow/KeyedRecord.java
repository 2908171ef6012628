package org.dogwoodwinch.follow;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;

/**
 * One record of a keyed stream.
 *
 * @param key the key, not null
 * @param offset the position of the record in the stream: the offset, ordered by the era of the store first
 *     ({@link LogPosition})
 * @param value the new value of the key, empty if the key was deleted
 */
public record KeyedRecord(String key, long offset, Optional<Bytes> value) {

    /** Checks that key and value are not null. */
    public KeyedRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
