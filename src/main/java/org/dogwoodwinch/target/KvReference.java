package org.dogwoodwinch.target;

import java.util.Objects;

/**
 * Names an exported KV cache that another engine can import.
 *
 * @param sourceTarget the name of the engine that exported it, not null
 * @param sourceAddress where the importing engine fetches it, as {@code host:port}, not null
 * @param exportId the export's id on its engine, not null
 * @param kvBytes how large it is
 * @param nextSequence the sequence number of the first token that is not yet in it
 */
public record KvReference(String sourceTarget, String sourceAddress, String exportId, long kvBytes, long nextSequence) {

    /** Checks the parts. */
    public KvReference {
        Objects.requireNonNull(sourceTarget, "sourceTarget");
        Objects.requireNonNull(sourceAddress, "sourceAddress");
        Objects.requireNonNull(exportId, "exportId");
    }
}
