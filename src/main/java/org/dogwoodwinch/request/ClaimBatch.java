package org.dogwoodwinch.request;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The content of one append to the claims stream.
 *
 * @param version the format version, {@link #VERSION}
 * @param writerId identifies one start of one instance, not null
 * @param number the sequence number of the batch at its writer
 * @param records the records; null is read as an empty list
 */
record ClaimBatch(
        @JsonProperty("v") int version,
        @JsonProperty("w") String writerId,
        @JsonProperty("b") long number,
        @JsonProperty("r") List<ClaimRecord> records) {

    /** The format version that this code writes and reads. */
    static final int VERSION = 1;

    ClaimBatch {
        records = records == null ? List.of() : List.copyOf(records);
    }
}
