package org.dogwoodwinch.target;

import java.util.Objects;

/**
 * A reference to an exported KV cache that another engine can import.
 *
 * @param sourceTarget the name of the engine that exported it, not null
 * @param sourceAddress the address from which the importing engine fetches it, as {@code host:port}, not null
 * @param exportId the id of the export on the engine that exported it, not null
 * @param kvBytes the size of the KV cache, in bytes
 * @param nextSequence the index of the first token that the KV cache does not contain
 */
public record KvReference(String sourceTarget, String sourceAddress, String exportId, long kvBytes, long nextSequence) {

    /** Validates the components. */
    public KvReference {
        Objects.requireNonNull(sourceTarget, "sourceTarget");
        Objects.requireNonNull(sourceAddress, "sourceAddress");
        Objects.requireNonNull(exportId, "exportId");
    }
}
