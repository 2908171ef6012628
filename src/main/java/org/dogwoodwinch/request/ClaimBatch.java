package org.dogwoodwinch.request;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * What one append to the claims stream carries.
 *
 * @param version the format, {@link #VERSION}
 * @param writerId names one start of one instance, not null
 * @param number the batch's number at its writer
 * @param records the records, not null
 */
record ClaimBatch(
        @JsonProperty("v") int version,
        @JsonProperty("w") String writerId,
        @JsonProperty("b") long number,
        @JsonProperty("r") List<ClaimRecord> records) {

    /** The format that this code writes and reads. */
    static final int VERSION = 1;

    ClaimBatch {
        records = records == null ? List.of() : List.copyOf(records);
    }
}
