package org.dogwoodwinch.request;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A record of the claims stream. The JSON names are short because hundreds of records share one append. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ClaimRecord.Claimed.class, name = "c"),
    @JsonSubTypes.Type(value = ClaimRecord.Moved.class, name = "m"),
    @JsonSubTypes.Type(value = ClaimRecord.Completed.class, name = "d"),
    @JsonSubTypes.Type(value = ClaimRecord.Released.class, name = "r")
})
sealed interface ClaimRecord {

    String claimId();

    String keyHash();

    /** A key is claimed for a request that is about to be sent to a target. */
    record Claimed(
            @JsonProperty("i") String claimId,
            @JsonProperty("k") String keyHash,
            @JsonProperty("f") long fingerprint,
            @JsonProperty("g") String target,
            @JsonProperty("a") String attemptId)
            implements ClaimRecord {}

    /** The claimed request is sent to another target; the previous attempt is proved not to have run. */
    record Moved(
            @JsonProperty("i") String claimId,
            @JsonProperty("k") String keyHash,
            @JsonProperty("g") String target,
            @JsonProperty("a") String attemptId)
            implements ClaimRecord {}

    /** The claimed request has been answered. */
    record Completed(
            @JsonProperty("i") String claimId,
            @JsonProperty("k") String keyHash,
            @JsonProperty("o") StoredAnswerRecord answer)
            implements ClaimRecord {}

    /** The claimed request is proved not to have run; its key is free again. */
    record Released(
            @JsonProperty("i") String claimId,
            @JsonProperty("k") String keyHash) implements ClaimRecord {}
}
