package org.dogwoodwinch.bytes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class JsonTreesTest {

    private static JsonNode read(String text) throws IOException {
        return JsonTrees.read(text.getBytes(StandardCharsets.UTF_8));
    }

    /** The library's own reader is the measure, for each kind of value. */
    @Test
    void treesAreThoseOfTheLibrary() throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        for (String text : List.of(
                "{\"a\":[1,-2,3000000000,99999999999999999999,1.5,true,false,null,\"\\u00e4\"],\"b\":{\"c\":{}},\"d\":[]}",
                "[]",
                "\"text\"",
                "7",
                "{\"twice\":1,\"twice\":2}")) {
            assertEquals(mapper.readTree(text), read(text), text);
        }
    }

    @Test
    void nothingIsAMissingNode() throws IOException {
        assertTrue(read("  ").isMissingNode());
    }

    /** Half a value, two values or no JSON at all is never half read. */
    @Test
    void whatIsNoOneValueIsRefused() {
        for (String text : List.of("{\"a\":", "{\"a\":1", "[1,", "{} {}", "nul", "{a:1}", "[1 2]")) {
            assertThrows(IOException.class, () -> read(text), text);
        }
    }

    /** A text of brackets alone must not end the stack. */
    @Test
    void whatIsNestedBeyondMeasureIsRefused() {
        assertThrows(IOException.class, () -> read("[".repeat(5_000) + "]".repeat(5_000)));
    }
}
