package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import org.dogwoodwinch.forwarding.TargetStanding;
import org.junit.jupiter.api.Test;

class PerformanceObservationTest {

    private final RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("a");

    private RelayFixture.FakeTargetConnection send(String id) {
        relay.connectCaller().send(RelayFixture.postRequest("/once/a", id, "", "body"));
        return relay.targetConnections.stream()
                .filter(connection ->
                        connection.takeReceived().toLowerCase(Locale.ROOT).contains("request-id: " + id + "\r\n"))
                .findFirst()
                .orElseThrow();
    }

    private static String response(String id, String statusLine, String extraHeader) {
        return "HTTP/1.1 " + statusLine + "\r\nRequest-Id: " + id + "\r\nServer-Stamp: s-" + id + "\r\n" + extraHeader
                + "Content-Length: 0\r\n\r\n";
    }

    private double weight() {
        return relay.performance.weight("a", relay.time.monotonicMillis());
    }

    /** Failure: a target fails calls within a millisecond, is taken for the fastest one, and receives most calls. */
    @Test
    void targetThatFailsCallsReceivesFewer() {
        relay.withPlainTarget("b").withPlainTarget("c");
        int failedCount = 0;
        for (int i = 0; i < 30; i++) {
            RelayFixture.FakeTargetConnection connection = send("c" + i);
            boolean fails = connection.targetId().equals("a");
            failedCount += fails ? 1 : 0;
            connection.respond(response("c" + i, fails ? "500 Failed" : "200 OK", ""));
        }

        TargetStanding standing =
                relay.performance.standing(relay.directory.find("a").orElseThrow(), relay.time.monotonicMillis());
        assertTrue(standing.failureShare() > 0.3);
        assertEquals(2, failedCount);
    }

    /** A full target that rejects calls has not failed. */
    @Test
    void rejectionIsNoFailure() {
        send("c1").respond(response("c1", "503 Busy", "Not-Run: 1\r\n"));

        assertEquals(0, weight());
    }

    @Test
    void lostResponseCounts() {
        send("c1").reset();

        assertEquals(1, weight(), 0.01);
    }

    /** Failure: a target that never responds leaves no time, and no failure either, since its callers leave first. */
    @Test
    void callerLeavingAMuteTargetCounts() {
        for (int i = 0; i < 6; i++) {
            RelayFixture.FakeTargetConnection connection = send("c" + i);
            relay.time.advanceMillis(10);
            connection.respond(RelayFixture.successResponse("c" + i, "ok"));
        }
        double before = weight();
        RelayFixture.FakeCaller caller =
                relay.connectCaller().send(RelayFixture.postRequest("/once/a", "m1", "", "body"));
        relay.time.advanceMillis(200);
        caller.disconnect();

        assertTrue(weight() > before, before + " before, now " + weight());
    }
}
