package org.dogwoodwinch.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class QuarantineEndpointTest {

    private static final long FINGERPRINT = -2;

    private final List<QuarantinedSegment> heldSegments = new ArrayList<>();
    private final SuspectRegistry suspects =
            new SuspectRegistry(new VirtualTimeSource(0), 600_000, 60_000, _notice -> {});
    private final QuarantineEndpoint endpoint = new QuarantineEndpoint(suspects, new SegmentQuarantine() {
        @Override
        public List<QuarantinedSegment> list() {
            return heldSegments;
        }

        @Override
        public boolean lift(String model, String segment) {
            return heldSegments.removeIf(
                    held -> held.model().equals(model) && held.segment().equals(segment));
        }
    });

    @Test
    void listsQuarantinedRequestsAndLiftsThem() {
        suspects.onTrialStarted(FINGERPRINT, "a", "engine-0");
        suspects.onCrash(FINGERPRINT, "a", "engine-0");
        assertEquals(
                "[{\"fingerprint\":\"fffffffffffffffe\",\"crashes\":1,\"remainingMillis\":60000}]",
                endpoint.handle("GET", "/quarantine", "").body());
        String body = "{\"fingerprint\":\"fffffffffffffffe\"}";
        assertTrue(endpoint.handle("POST", "/quarantine/lift", body).body().contains("true"));
        assertTrue(endpoint.handle("POST", "/quarantine/lift", body).body().contains("false"));
        assertEquals("[]", endpoint.handle("GET", "/quarantine", "").body());
    }

    @Test
    void listsHeldSegmentsAndLiftsThem() {
        heldSegments.add(new QuarantinedSegment("m", "5c", 4, 1, 2_000, 58_000));
        assertEquals(
                "[{\"model\":\"m\",\"segment\":\"5c\",\"crashes\":4,\"trials\":1,\"lastCrashMillis\":2000,"
                        + "\"remainingMillis\":58000}]",
                endpoint.handle("GET", "/quarantine/segments", "").body());
        String body = "{\"model\":\"m\",\"segment\":\"5c\"}";
        assertTrue(endpoint.handle("POST", "/quarantine/segments/lift", body)
                .body()
                .contains("true"));
        assertEquals("[]", endpoint.handle("GET", "/quarantine/segments", "").body());
        assertEquals(
                "{\"detail\":\"segment must not be empty\"}",
                endpoint.handle("POST", "/quarantine/segments/lift", "{}").body());
        assertEquals(
                400, endpoint.handle("POST", "/quarantine/segments/lift", "x").status());
    }

    @Test
    void refusesMalformedBodiesAndUnknownMethods() {
        assertEquals(400, endpoint.handle("POST", "/quarantine/lift", "{}").status());
        assertEquals(400, endpoint.handle("POST", "/quarantine/lift", "x").status());
        assertEquals(404, endpoint.handle("DELETE", "/quarantine", "").status());
    }
}
