package org.dogwoodwinch.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.RouteTable;
import org.dogwoodwinch.forwarding.Stage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Failure: a malformed entry decoded as a ready target, with zeros for missing fields, gets requests and fails them.
 */
class MutatedEntriesTest {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int ROUNDS = 20_000;
    private static final String ENTRY =
            "{\"service\":\"s\",\"address\":\"10.1.64.9:8080\",\"zone\":\"a\",\"version\":\"v1\","
                    + "\"slots\":24,\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"decode\","
                    + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"seq\":4}";
    private static final String CONFIGURATION =
            "{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/p/\","
                    + "\"kind\":\"streaming\",\"timeoutMs\":3000,\"targetLatencyMs\":250,\"priority\":0,\"service\":\"s\","
                    + "\"maxAttempts\":1}],\"services\":[{\"name\":\"s\",\"maxConnections\":210}],\"limits\":{\"maxBodyBytes\":9}}";

    private static Incarnation decode(String entry) throws IOException {
        return TargetEntryDecoder.decode("i-1", Bytes.ofUtf8(entry));
    }

    @Test
    void decodesValidEntry() throws IOException {
        Incarnation target = decode(ENTRY);
        assertEquals("s", target.service());
        assertEquals("10.1.64.9:8080", target.address());
        assertEquals(24, target.slotsCount());
        assertEquals(Stage.DECODE, target.stage());
        assertFalse(target.draining());
        assertEquals(
                Stage.WHOLE, decode(ENTRY.replace("\"stage\":\"decode\",", "")).stage());
        assertTrue(decode(ENTRY.replace("ready", "draining")).draining());
        assertFalse(target.spot());
        Incarnation spot = decode(ENTRY.replace("\"slots\"", "\"spot\":true,\"slots\""));
        assertTrue(spot.spot() && spot.asDraining().spot());
        assertNotEquals(target, spot);
    }

    static Stream<String> invalidEntries() {
        return Stream.of(
                "",
                "null",
                "[]",
                "7",
                "{}",
                ENTRY.replace("\"service\":\"s\",", ""),
                ENTRY.replace("\"s\"", "3"),
                ENTRY.replace("10.1.64.9:8080", "10.1.64.9"),
                ENTRY.replace("10.1.64.9:8080", "10.1.64.999:80"),
                ENTRY.replace("10.1.64.9:8080", "10.1.64.9:0"),
                ENTRY.replace("10.1.64.9:8080", "10.1.64.9:70000"),
                ENTRY.replace("10.1.64.9:8080", "target.example:80"),
                ENTRY.replace("\"slots\":24", "\"slots\":\"24\""),
                ENTRY.replace("\"slots\":24", "\"slots\":0"),
                ENTRY.replace("\"slots\":24", "\"slots\":99999999999"),
                ENTRY.replace("\"slots\":24,", ""),
                ENTRY.replace("\"state\":\"ready\",", ""),
                ENTRY.replace("\"version\":\"v1\",", ""),
                ENTRY.replace("\"v1\"", "\"\""),
                ENTRY.replace("\"v1\"", "1"),
                ENTRY.replace("ready", "READY"),
                ENTRY.replace("\"decode\"", "\"encode\""),
                ENTRY.replace("\"decode\"", "{}"),
                ENTRY.replace("\"slots\"", "\"spot\":\"true\",\"slots\""),
                ENTRY.replace("v1", "x".repeat(70_000)));
    }

    @ParameterizedTest
    @MethodSource("invalidEntries")
    void rejectsInvalidEntry(String entry) {
        assertThrows(IOException.class, () -> decode(entry));
    }

    /** Failure: an entry with random changes is decoded with values out of range. */
    @Test
    void mutatedEntryIsRejectedOrDecodedWithinRange() throws IOException {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(18);
        int rejectedCount = 0;
        for (int round = 0; round < ROUNDS; round++) {
            byte[] mutated = random.nextBoolean() ? mutateBytes(ENTRY, random) : mutateField(random);
            try {
                Incarnation target = TargetEntryDecoder.decode("i-1", Bytes.of(mutated));
                assertTrue(target.port() > 0 && target.slotsCount() > 0, target::toString);
                assertFalse(target.service().isEmpty() || target.dataCentre().isEmpty(), target::toString);
            } catch (IOException e) {
                rejectedCount++;
            }
        }
        assertTrue(rejectedCount > ROUNDS / 4, "refused " + rejectedCount);
    }

    /** Failure: a malformed configuration fails with an unexpected exception instead of being rejected. */
    @Test
    void mutatedConfigurationIsRejectedOrDecoded() throws IOException {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(19);
        int rejectedCount = 0;
        for (int round = 0; round < ROUNDS; round++) {
            try {
                RouteTable table = ConfigurationDecoder.decode(Bytes.of(mutateBytes(CONFIGURATION, random)));
                assertTrue(table.routesCount() >= 0);
            } catch (IOException e) {
                rejectedCount++;
            }
        }
        assertTrue(rejectedCount > ROUNDS / 4, "refused " + rejectedCount);
    }

    private static byte[] mutateBytes(String text, UniformRandomProvider random) {
        byte[] content = Bytes.ofUtf8(text).toByteArray();
        for (int i = 0; i <= random.nextInt(4); i++) {
            content[random.nextInt(content.length)] = (byte) random.nextInt(256);
        }
        return random.nextInt(5) == 0 ? Arrays.copyOf(content, random.nextInt(content.length)) : content;
    }

    private static byte[] mutateField(UniformRandomProvider random) throws IOException {
        ObjectNode entry = (ObjectNode) MAPPER.readTree(ENTRY);
        List<String> names = new ArrayList<>();
        entry.fieldNames().forEachRemaining(names::add);
        String name = names.get(random.nextInt(names.size()));
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        List<JsonNode> values = List.of(
                nodes.nullNode(),
                nodes.numberNode(-1),
                nodes.numberNode(1e300),
                nodes.numberNode(Long.MAX_VALUE),
                nodes.textNode(""),
                nodes.textNode("\u0000"),
                nodes.booleanNode(true),
                nodes.arrayNode(),
                nodes.objectNode());
        if (random.nextInt(4) == 0) {
            entry.remove(name);
        } else {
            entry.set(name, values.get(random.nextInt(values.size())));
        }
        return MAPPER.writeValueAsBytes(entry);
    }
}
