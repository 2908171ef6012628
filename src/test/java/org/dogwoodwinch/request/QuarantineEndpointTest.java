package org.dogwoodwinch.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class QuarantineEndpointTest {

    private static final long FINGERPRINT = -2;

    private final SuspectRegistry suspects =
            new SuspectRegistry(new VirtualTimeSource(0), 600_000, 60_000, _notice -> {});
    private final QuarantineEndpoint endpoint = new QuarantineEndpoint(suspects);

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
    void refusesMalformedBodiesAndUnknownMethods() {
        assertEquals(400, endpoint.handle("POST", "/quarantine/lift", "{}").status());
        assertEquals(400, endpoint.handle("POST", "/quarantine/lift", "x").status());
        assertEquals(404, endpoint.handle("DELETE", "/quarantine", "").status());
    }
}
