package org.dogwoodwinch.bytes;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Reads JSON into trees, by the library's parser and nodes alone.
 *
 * <p>Load: a process that starts beside waiting callers on a small share of a processor. The library's object mapper sets
 * up formats of dates and numbers for types that are never read here, and a start waits for that.
 */
public final class JsonTrees {

    /** Deeper than any message; a deeper one must not end the stack. */
    private static final int MOST_LEVELS = 100;

    private static final JsonFactory PARSERS = new JsonFactory();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private JsonTrees() {}

    /**
     * Reads a value.
     *
     * @param content the text in UTF-8, not null
     * @return the tree; a missing node where there is nothing but white space
     * @throws IOException if it is no JSON, more than one value, or nested beyond measure
     */
    public static JsonNode read(byte[] content) throws IOException {
        try (JsonParser parser = PARSERS.createParser(content)) {
            JsonToken first = parser.nextToken();
            if (first == null) {
                return MissingNode.getInstance();
            }
            JsonNode value = value(parser, first, 0);
            if (parser.nextToken() != null) {
                throw new IOException("more than one value");
            }
            return value;
        }
    }

    private static JsonNode value(JsonParser parser, JsonToken token, int level) throws IOException {
        if (level > MOST_LEVELS) {
            throw new IOException("more than " + MOST_LEVELS + " levels");
        }
        return switch (token) {
            case START_OBJECT -> object(parser, level);
            case START_ARRAY -> array(parser, level);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> whole(parser);
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            case VALUE_NULL -> NODES.nullNode();
            default -> throw new IOException("unexpected " + token);
        };
    }

    private static JsonNode whole(JsonParser parser) throws IOException {
        return switch (parser.getNumberType()) {
            case INT -> NODES.numberNode(parser.getIntValue());
            case LONG -> NODES.numberNode(parser.getLongValue());
            default -> NODES.numberNode(parser.getBigIntegerValue());
        };
    }

    private static ObjectNode object(JsonParser parser, int level) throws IOException {
        ObjectNode object = NODES.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            object.set(name, value(parser, parser.nextToken(), level + 1));
        }
        return object;
    }

    private static ArrayNode array(JsonParser parser, int level) throws IOException {
        ArrayNode array = NODES.arrayNode();
        JsonToken token = parser.nextToken();
        while (token != JsonToken.END_ARRAY) {
            array.add(value(parser, token, level + 1));
            token = parser.nextToken();
        }
        return array;
    }
}
