package org.dogwoodwinch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class GenerateBodyReaderTest {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String SOUND =
            "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"p\"}],\"max_tokens\":5,\"stream\":false}";

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "model|5|model",
                "model|''|model",
                "messages|[]|messages",
                "messages|[{\"role\":\"user\"}]|messages[0].content",
                "messages|[{\"role\":\"pope\",\"content\":\"x\"}]|messages[0].role",
                "messages|[{\"role\":\"user\",\"content\":[{\"type\":\"image\"}]}]|messages[0].content[0]",
                "messages|[5]|messages[0]",
                "max_tokens|0|max_tokens",
                "max_tokens|1.5|max_tokens",
                "max_tokens|\"5\"|max_tokens",
                "max_tokens|99999999999|max_tokens",
                "max_completion_tokens|5|max_tokens",
                "stream|\"yes\"|stream",
                "n|2|n",
                "stream_options|{\"include_usage\":true}|stream_options",
                "tools|[]|tools"
            })
    void theFieldAtFaultIsNamed(String field, String value, String named) throws IOException {
        ObjectNode body = (ObjectNode) MAPPER.readTree(SOUND);
        body.set(field, MAPPER.readTree(value.isEmpty() ? "\"\"" : value));
        GenerateBodyReader.GenerateFields fields = GenerateBodyReader.read(AnswerShape.Kind.CHAT, body);
        assertEquals(named, fields.problem().orElseThrow().field());
    }

    @Property(seed = "31", tries = 500)
    void anyBodyIsReadOrRefusedWithItsField(@ForAll("values") String value, @ForAll("fields") String field)
            throws IOException {
        ObjectNode body = (ObjectNode) MAPPER.readTree(SOUND);
        body.set(field, MAPPER.readTree(value));
        for (AnswerShape.Kind kind : new AnswerShape.Kind[] {AnswerShape.Kind.CHAT, AnswerShape.Kind.COMPLETION}) {
            GenerateBodyReader.GenerateFields fields = GenerateBodyReader.read(kind, body);
            fields.problem().ifPresent(problem -> assertTrue(!problem.detail().isEmpty()));
            assertTrue(fields.problem().isPresent() || !fields.prompt().isEmpty());
        }
    }

    @Property(seed = "32", tries = 500)
    void malformedJsonIsRefusedAndNothingEscapes(@ForAll byte[] bytes) {
        EdgeJson.read(bytes).ifPresent(node -> GenerateBodyReader.read(AnswerShape.Kind.CHAT, node));
    }

    @Property(seed = "33", tries = 200)
    void anyTextIsEscapedSoThatItComesBackTheSame(@ForAll String text) throws IOException {
        String clean = new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.UTF_8);
        byte[] json = new AnswerJson(AnswerShape.Kind.COMPLETION, "r", "e", 1).piece(clean, true);
        JsonNode piece = MAPPER.readTree(json);
        assertEquals(clean, piece.path("choices").path(0).path("text").asText());
    }

    @Property(seed = "34", tries = 500)
    void noServicePathReachesAboveItsRoot(@ForAll("paths") String path) {
        CallerRoute route = CallerRoute.of("/services/checks/" + path);
        if (route.kind() == CallerRoute.Kind.SERVICE) {
            assertTrue(java.net
                    .URI
                    .create("/root" + route.rest())
                    .normalize()
                    .toString()
                    .startsWith("/root/"));
        }
    }

    @Provide
    Arbitrary<String> fields() {
        return Arbitraries.of("model", "messages", "prompt", "max_tokens", "stream", "stream_options", "n", "other");
    }

    @Provide
    Arbitrary<String> values() {
        return Arbitraries.of(
                "null",
                "5",
                "-1",
                "1e99",
                "\"\"",
                "\"x\"",
                "[]",
                "{}",
                "[null]",
                "[[]]",
                "true",
                "[{}]",
                "{\"a\":1}",
                "[{\"role\":null,\"content\":null}]",
                "[{\"role\":\"user\",\"content\":[null]}]");
    }

    @Provide
    Arbitrary<String> paths() {
        return Arbitraries.of("..", ".", "a", "%2e%2e", "%2E.", "%2f", "\\..", "b?c", "d", "")
                .list()
                .ofMaxSize(5)
                .map(parts -> String.join("/", parts));
    }
}
