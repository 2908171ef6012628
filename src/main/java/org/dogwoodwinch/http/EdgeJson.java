package org.dogwoodwinch.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

/** The JSON of callers and operators; a field given twice is malformed, since readers differ on which one counts. */
final class EdgeJson {

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private EdgeJson() {}

    /**
     * Reads a tree.
     *
     * @param json the JSON in UTF-8, not null
     * @return the tree, or empty where the JSON is malformed or there is none
     */
    static Optional<JsonNode> read(byte[] json) {
        try {
            JsonNode node = MAPPER.readTree(json);
            return node == null || node.isMissingNode() ? Optional.empty() : Optional.of(node);
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /**
     * Writes a value.
     *
     * @param value the value, not null
     * @return the JSON in UTF-8
     * @throws UncheckedIOException if the value has no JSON, which is a fault of this program
     */
    static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }
}
