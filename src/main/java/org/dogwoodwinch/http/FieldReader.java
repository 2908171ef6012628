package org.dogwoodwinch.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwinch.request.Refusal;

/**
 * Reads the fields of one JSON object with strict types and keeps the first problem found; a field that is wrong reads
 * as its default. Not thread-safe.
 */
final class FieldReader {

    private final JsonNode node;
    private Refusal problem;

    /**
     * Creates a reader.
     *
     * @param node what should be an object, not null
     */
    FieldReader(JsonNode node) {
        this.node = node;
        if (!node.isObject()) {
            fail("", "the body must be a JSON object");
        }
    }

    /**
     * Returns the first problem found.
     *
     * @return the refusal that names the field, or empty
     */
    Optional<Refusal> problem() {
        return Optional.ofNullable(problem);
    }

    /**
     * Notes a problem, unless there is one already.
     *
     * @param field the field, not null
     * @param detail what is wrong, not null
     */
    void fail(String field, String detail) {
        if (problem == null) {
            problem = Refusal.invalidField(field, detail);
        }
    }

    /**
     * Reads a field that must be there.
     *
     * @param field its name, not null
     * @return its node, or null where it is missing or null
     */
    JsonNode required(String field) {
        JsonNode value = node.get(field);
        if (value == null || value.isNull()) {
            fail(field, "the field is missing");
            return null;
        }
        return value;
    }

    /**
     * Reads a field that need not be there.
     *
     * @param field its name, not null
     * @return its node, a missing node where it is missing or null
     */
    JsonNode optional(String field) {
        JsonNode value = node.path(field);
        return value.isNull() ? MissingNode.getInstance() : value;
    }

    /**
     * Reads a string that must be there and must not be empty.
     *
     * @param field its name, not null
     * @return the string, empty where it is wrong
     */
    String requiredString(String field) {
        JsonNode value = required(field);
        if (value == null) {
            return "";
        }
        if (!value.isTextual() || value.textValue().isEmpty()) {
            fail(field, "must be a string that is not empty");
            return "";
        }
        return value.textValue();
    }

    /**
     * Reads an optional flag.
     *
     * @param field its name, not null
     * @return the flag, false where it is missing, null or wrong
     */
    boolean flag(String field) {
        JsonNode value = node.get(field);
        if (value == null || value.isNull()) {
            return false;
        }
        if (!value.isBoolean()) {
            fail(field, "must be true or false");
        }
        return value.booleanValue();
    }

    /**
     * Reads an optional count.
     *
     * @param field its name, not null
     * @param max the largest value
     * @return the count, empty where it is missing, null or wrong
     */
    Optional<Integer> count(String field, int max) {
        JsonNode value = node.get(field);
        if (value == null || value.isNull()) {
            return Optional.empty();
        }
        if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < 1 || value.intValue() > max) {
            fail(field, "must be a whole number from 1 to " + max);
            return Optional.empty();
        }
        return Optional.of(value.intValue());
    }

    /**
     * Refuses fields of other names: one that is silently ignored would let a caller believe that it works.
     *
     * @param known the names, not null
     */
    void refuseUnknown(Set<String> known) {
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!known.contains(name)) {
                fail(name, "the field is not supported");
            }
        }
    }
}
