package org.dogwoodwinch.request;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * What one append to the claims stream carries.
 *
 * @param version the format, {@link #VERSION}
 * @param writer names one start of one instance, not null
 * @param batch the batch's number at its writer
 * @param records the records, not null
 */
record ClaimBatch(
        @JsonProperty("v") int version,
        @JsonProperty("w") String writer,
        @JsonProperty("b") long batch,
        @JsonProperty("r") List<ClaimRecord> records) {

    /** The format that this code writes and reads. */
    static final int VERSION = 1;

    ClaimBatch {
        records = records == null ? List.of() : List.copyOf(records);
    }
}
