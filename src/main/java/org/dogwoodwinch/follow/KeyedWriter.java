package org.dogwoodwinch.follow;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.bytes.Bytes;

/** Writes records to a keyed stream. */
@FunctionalInterface
public interface KeyedWriter {

    /**
     * Writes the newest record of a key.
     *
     * @param key the key, at most 255 bytes, not null
     * @param value the new value, empty to delete the key, not null
     * @return a stage that completes with whether the store confirmed the write, never exceptionally; an unconfirmed
     *     record may still be written, now or later
     */
    CompletionStage<Boolean> put(String key, Optional<Bytes> value);
}
