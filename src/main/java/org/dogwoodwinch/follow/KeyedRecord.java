package org.dogwoodwinch.follow;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;

/**
 * One record of a keyed stream.
 *
 * @param key what it is about, not null
 * @param offset its place in the stream
 * @param value what it states, empty where the key was dropped
 */
public record KeyedRecord(String key, long offset, Optional<Bytes> value) {

    /** Checks. */
    public KeyedRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
