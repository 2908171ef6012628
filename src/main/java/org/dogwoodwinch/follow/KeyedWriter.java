package org.dogwoodwinch.follow;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.bytes.Bytes;

/** Writes records of a keyed stream. */
@FunctionalInterface
public interface KeyedWriter {

    /**
     * Writes the newest record of a key.
     *
     * @param key what it is about, at most 255 bytes, not null
     * @param value what it states, empty to drop the key, not null
     * @return completes with whether the store said that it was written, never exceptionally; without its word it may
     *     still be written, now or later
     */
    CompletionStage<Boolean> put(String key, Optional<Bytes> value);
}
