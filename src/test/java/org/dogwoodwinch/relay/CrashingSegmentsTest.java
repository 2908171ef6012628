package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.dogwoodwinch.forwarding.Stage;
import org.junit.jupiter.api.Test;

class CrashingSegmentsTest {

    /** The number of crashes, and of sends after them, that the platform's users allow over the whole fleet. */
    private static final int MAX_CRASHES = 5;

    private static final int MAX_LATER_SENDS = 3;

    private final RelayFixture relay = new RelayFixture().withRoutes();
    private int callsCount;
    private int enginesCount;

    private void startEngine() {
        relay.withEngine("e" + enginesCount++, Stage.WHOLE);
    }

    /** Sends a call whose prompt ends with a segment of its own, and returns its id. */
    private RelayFixture.FakeCaller send(String sharedSegments) {
        String id = "c" + callsCount++;
        return relay.connectCaller()
                .send(RelayFixture.postRequest(
                        "/model/p",
                        id,
                        "Model: m\r\nToken-Count: 900,8\r\nPrompt-Prefix: " + sharedSegments + "," + id + ":9\r\n",
                        "body of " + id));
    }

    private String latestId() {
        return "c" + (callsCount - 1);
    }

    private void crash(RelayFixture.FakeTargetConnection target) {
        target.close();
        relay.directory.apply(target.targetId(), 1_000 + enginesCount, Optional.empty());
        relay.service.handleTargetLost(target.targetId());
    }

    /** Returns the target's end of the connection on which the latest call arrived. */
    private Optional<RelayFixture.FakeTargetConnection> receiver() {
        return relay.targetConnections.stream()
                .filter(RelayFixture.FakeTargetConnection::isOpen)
                .filter(connection -> connection.takeReceived().contains(latestId()))
                .findFirst();
    }

    private boolean isServed(RelayFixture.FakeCaller caller) {
        receiver()
                .ifPresent(target -> target.respond(RelayFixture.streamResponseHead(latestId())
                        + RelayFixture.chunk("id: 1\ndata: word\n\n") + "0\r\n\r\n"));
        return caller.takeReceived().endsWith("0\r\n\r\n");
    }

    /** Guards against calls that share one segment and are otherwise never alike, and end target after target. */
    @Test
    void callsThatShareACrashingSegmentAreHeldBackWhileSoundCallsAreServed() {
        int crashesCount = 0;
        int servedCount = 0;
        for (int i = 0; i < 30; i++) {
            startEngine();
            relay.time.advanceMillis(500);
            RelayFixture.FakeCaller caller = send("f1:100,bad:50");
            Optional<RelayFixture.FakeTargetConnection> target = receiver();
            if (target.isPresent()) {
                crash(target.get());
                crashesCount++;
            } else {
                assertTrue(caller.takeReceived().startsWith("HTTP/1.1 503 "));
            }
            startEngine();
            servedCount += isServed(send("f1:100")) ? 1 : 0;
        }
        assertTrue(crashesCount <= MAX_CRASHES + MAX_LATER_SENDS, "crashes: " + crashesCount);
        assertEquals(30, servedCount);
    }
}
