package org.dogwoodwinch.target.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;

/**
 * Reads and writes the JSON of targets and of the platform. Unknown fields are ignored, since newer targets add fields.
 * A document without a required number is malformed, since a zero in its place would be taken for a reported value.
 */
public final class TargetJson {

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    private TargetJson() {}

    /**
     * Parses a value.
     *
     * @param json the JSON in UTF-8, not null
     * @param type the value's type, not null
     * @param <T> the value's type
     * @return the value, or empty if the JSON is malformed or null
     */
    public static <T> Optional<T> read(byte[] json, Class<T> type) {
        return read(json, MAPPER.readerFor(type));
    }

    /**
     * Parses a list.
     *
     * @param json the JSON in UTF-8, not null
     * @param elementType the elements' type, not null
     * @param <T> the elements' type
     * @return the list, or empty if the JSON is malformed or null
     */
    public static <T> Optional<List<T>> readList(byte[] json, Class<T> elementType) {
        return read(json, MAPPER.readerForListOf(elementType));
    }

    /**
     * Serializes a value.
     *
     * @param value the value, not null
     * @return the JSON in UTF-8
     * @throws UncheckedIOException if the value cannot be serialized, which is a programming error
     */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Creates a reusable reader, for messages that are parsed once per token.
     *
     * @param type the value's type, not null
     * @return the reader; thread-safe
     */
    static ObjectReader reader(Class<?> type) {
        return MAPPER.readerFor(type);
    }

    /**
     * Parses a value with a reusable reader.
     *
     * @param json the JSON in UTF-8, not null
     * @param reader the reader, not null
     * @param <T> the value's type
     * @return the value, or empty if the JSON is malformed or null
     */
    static <T> Optional<T> read(byte[] json, ObjectReader reader) {
        try {
            return Optional.ofNullable(reader.<T>readValue(json));
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
