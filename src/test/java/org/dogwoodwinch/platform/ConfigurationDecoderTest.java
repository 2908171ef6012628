package org.dogwoodwinch.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.ApiKey;
import org.dogwoodwinch.forwarding.CallOwner;
import org.dogwoodwinch.forwarding.CallerIdentity;
import org.dogwoodwinch.forwarding.EngineTraits;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.RouteKind;
import org.dogwoodwinch.forwarding.RouteTable;
import org.dogwoodwinch.forwarding.ServiceRoute;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.scaling.ScalingLimits;
import org.junit.jupiter.api.Test;

class ConfigurationDecoderTest {

    private static final String CONFIGURATION = """
            {"version":7,"routes":[
              {"name":"r1","host":"Desk.example","pathPrefix":"/a/","kind":"streaming","timeoutMs":4000,
               "targetLatencyMs":600,"priority":1,"service":"s","maxAttempts":2,"sticky":true,"resumable":true,
               "gapAimMs":300,"newField":{"x":1}},
              {"name":"r2","host":"desk.example","pathPrefix":"/b/","kind":"unsafe","timeoutMs":800,"targetLatencyMs":150,
               "priority":2,"trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}],"maxAttempts":1}],
             "services":[
              {"name":"s","healthPath":"/h","maxConnections":360,"protocol":"h1","tls":false,
               "engine":{"slots":64,"kvCapacity":440753,"kvTokenBytes":18432,"linkMbps":370000.0,"handleTtlS":5.0,"switchS":3.0}},
              {"name":"t","healthPath":"/h","maxConnections":96,"protocol":"h1","tls":false}],
             "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
            """;

    @Test
    void decodesRoutesServicesAndLimits() throws IOException {
        RouteTable table = ConfigurationDecoder.decode(Bytes.ofUtf8(CONFIGURATION));

        ServiceRoute stream = table.findRoute("desk.example", "/a/x").orElseThrow();
        assertEquals(7, table.version());
        assertEquals(RouteKind.STREAM, stream.kind());
        assertTrue(stream.isIdempotent());
        assertEquals(4_000, stream.timeoutMillis());
        assertEquals(2, stream.maxAttemptsCount());
        ServiceRoute split = table.findRoute("desk.example", "/b/").orElseThrow();
        assertEquals("t", split.chooseService(0.95));
        assertEquals(
                new EngineTraits(64, 440_753, 18_432, 370_000, 5_000, 3_000),
                table.service("s").orElseThrow().engine().orElseThrow());
        assertTrue(table.service("t").orElseThrow().engine().isEmpty());
        assertEquals(15_000, table.limits().idleTimeoutMillis());
    }

    private static final String SCALING =
            "{\"min\":1,\"max\":32,\"bootS\":4.0,\"spotPrice\":0.22,\"zonePrices\":{\"a\":1.0,\"b\":0.8}}";

    private static String withScaling(String scaling) {
        return CONFIGURATION.replace("\"maxConnections\":96", "\"maxConnections\":96,\"scaling\":" + scaling);
    }

    @Test
    void decodesLimitsOfScaling() throws IOException {
        ScalingLimits limits = new ScalingLimits(1, 32, 4_000, OptionalDouble.of(0.22), Map.of("a", 1.0, "b", 0.8));

        RouteTable scaled = ConfigurationDecoder.decode(Bytes.ofUtf8(withScaling(SCALING)));
        assertEquals(Map.of("t", limits), scaled.scaledServices());
        assertEquals(
                OptionalDouble.empty(),
                ConfigurationDecoder.decode(Bytes.ofUtf8(withScaling(SCALING.replace("\"spotPrice\":0.22,", ""))))
                        .scaledServices()
                        .get("t")
                        .spotPriceRatio());
        assertEquals(
                Map.of(),
                ConfigurationDecoder.decode(Bytes.ofUtf8(CONFIGURATION)).scaledServices());
    }

    /** Failure: a wrong limit counts as zero, and engines are released. */
    @Test
    void errorOfInvalidScalingNamesTheField() {
        Map.of(
                        "scaling.min", SCALING.replace("\"min\":1", "\"min\":\"1\""),
                        "scaling.max", SCALING.replace("\"max\":32,", ""),
                        "max 0", SCALING.replace("\"max\":32", "\"max\":0"),
                        "scaling.bootS", SCALING.replace("4.0", "-4"),
                        "scaling.spotPrice", SCALING.replace("0.22", "1e300"),
                        "scaling.zonePrices.b", SCALING.replace("0.8", "null"),
                        "scaling.zonePrices", SCALING.replace("{\"a\":1.0,\"b\":0.8}", "[1]"))
                .forEach((field, scaling) -> {
                    IOException error = assertThrows(
                            IOException.class,
                            () -> ConfigurationDecoder.decode(Bytes.ofUtf8(withScaling(scaling))),
                            scaling);
                    assertTrue(error.getMessage().contains(field), error.getMessage());
                });
    }

    /** Guards against limits whose sum over the data centres exceeds the range of an integer. */
    @Test
    void hugeLimitOfScalingIsRejected() {
        String scaling = SCALING.replace("\"max\":32", "\"max\":2000000000");
        IOException error =
                assertThrows(IOException.class, () -> ConfigurationDecoder.decode(Bytes.ofUtf8(withScaling(scaling))));
        assertTrue(error.getMessage().contains("scaling.max"), error.getMessage());
    }

    @Test
    void decodesOwnersAndTheirKeys() throws IOException {
        RouteTable table = ConfigurationDecoder.decode(Bytes.ofUtf8(withOwners("""
                [{"name":"hule930","apiKeys":["k-1","k-2"],"priority":0},{"name":"fida11","apiKeys":["k-3"]}]""")));
        ServiceRoute closed = table.findRoute("desk.example", "/a/x").orElseThrow();

        CallOwner urgent = new CallOwner("hule930", OptionalInt.of(0));
        assertEquals(new CallerIdentity.Accepted(Optional.of(urgent)), identify(table, closed, "k-1"));
        assertEquals(new CallerIdentity.Accepted(Optional.of(urgent)), identify(table, closed, "k-2"));
        assertEquals(
                new CallerIdentity.Accepted(Optional.of(new CallOwner("fida11", OptionalInt.empty()))),
                identify(table, closed, "k-3"));
        assertEquals(1, new CallOwner("fida11", OptionalInt.empty()).priorityOn(closed));
        assertInstanceOf(CallerIdentity.Rejected.class, identify(table, closed, "k-4"));
        assertEquals(3, table.keysCount());
    }

    @Test
    void emptyListOfOwnersAcceptsNoKeyAndMissingListNeedsNone() throws IOException {
        RouteTable none = ConfigurationDecoder.decode(Bytes.ofUtf8(withOwners("[]")));
        RouteTable missing = ConfigurationDecoder.decode(Bytes.ofUtf8(CONFIGURATION));
        ServiceRoute route = none.findRoute("desk.example", "/a/x").orElseThrow();

        assertInstanceOf(CallerIdentity.Rejected.class, none.identify(route, Optional.empty()));
        assertEquals(new CallerIdentity.Accepted(Optional.empty()), missing.identify(route, Optional.empty()));
    }

    /** Failure: a malformed configuration is logged with the text around the error, which may be a key. */
    @Test
    void errorOfMalformedConfigurationDoesNotQuoteIt() {
        String text = withOwners("[{\"name\":\"a\",\"apiKeys\":[secretkey]}]");

        IOException error = assertThrows(IOException.class, () -> ConfigurationDecoder.decode(Bytes.ofUtf8(text)));

        assertFalse(error.getMessage().contains("secretkey"), error.getMessage());
        assertTrue(error.getMessage().contains("line 1"), error.getMessage());
    }

    private static String withOwners(String owners) {
        return "{\"tenants\":" + owners + "," + CONFIGURATION.strip().substring(1);
    }

    private static CallerIdentity identify(RouteTable table, ServiceRoute route, String key) {
        return table.identify(route, Optional.of(new ApiKey(key)));
    }

    @Test
    void rejectsInvalidConfiguration() {
        for (String text : new String[] {
            "",
            "{",
            "{\"routes\":[{\"kind\":\"odd\",\"pathPrefix\":\"/\",\"service\":\"s\"}]}",
            "{\"routes\":[{\"kind\":\"safe\",\"pathPrefix\":\"x\",\"service\":\"s\"}]}"
        }) {
            IOException error =
                    assertThrows(IOException.class, () -> ConfigurationDecoder.decode(Bytes.ofUtf8(text)), text);
            assertTrue(error.getMessage() != null);
        }
    }

    @Test
    void decodesTargetEntry() throws IOException {
        Incarnation target = TargetEntryDecoder.decode(
                "i-1",
                Bytes.ofUtf8("{\"service\":\"s\",\"address\":\"10.1.0.9:8080\",\"zone\":\"z\",\"version\":\"v1\","
                        + "\"slots\":64,\"state\":\"draining\",\"coldLeftMs\":0,\"stage\":\"prefill\","
                        + "\"models\":[{\"name\":\"m\",\"version\":3,\"adapters\":[]}],\"seq\":4}"));

        assertEquals(new Incarnation("i-1", "s", "10.1.0.9", 8_080, "z", 64, true, Stage.PREFILL, 3, 0, "v1"), target);
        assertThrows(IOException.class, () -> TargetEntryDecoder.decode("i", Bytes.ofUtf8("{\"address\":\"x\"}")));
        assertThrows(IOException.class, () -> TargetEntryDecoder.decode("i", Bytes.ofUtf8("{\"address\":\"x:y\"}")));
    }
}
