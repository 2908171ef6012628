package org.dogwoodwinch.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/** Encodes and decodes the batches of the claims stream as JSON. */
final class ClaimCodec {

    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private ClaimCodec() {}

    static String encode(ClaimBatch batch) {
        try {
            return MAPPER.writeValueAsString(batch);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("claim batch could not be serialized as JSON", e);
        }
    }

    /** Decodes a batch; empty if the payload is malformed or of another version, which every instance skips alike. */
    static Optional<ClaimBatch> decode(String payload) {
        try {
            ClaimBatch batch = MAPPER.readValue(payload, ClaimBatch.class);
            return batch.version() == ClaimBatch.VERSION && batch.writerId() != null
                    ? Optional.of(batch)
                    : Optional.empty();
        } catch (JsonProcessingException _e) {
            return Optional.empty();
        }
    }
}
