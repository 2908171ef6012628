package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.ApiKey;
import org.dogwoodwinch.forwarding.CallOwner;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.OwnerKeys;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.StreamId;
import org.junit.jupiter.api.Test;

class StreamContinuityTest {

    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final String FIRST_EVENT = "id: 1\ndata: x\n\n";

    private static RelayFixture relayOf(String... versions) {
        RelayFixture relay = new RelayFixture().withRoutes();
        for (int i = 0; i < versions.length; i++) {
            withVersion(relay, "t" + i, versions[i]);
        }
        return relay;
    }

    private static void withVersion(RelayFixture relay, String id, String version) {
        relay.withTarget(new Incarnation(id, "desk", "10.0.0.1", 80, "dc-1", 6, false, Stage.WHOLE, 0, 0, version));
    }

    private static String versionOf(RelayFixture relay, RelayFixture.FakeTargetConnection connection) {
        return relay.directory.find(connection.targetId()).orElseThrow().softwareVersion();
    }

    private static String takeUp(String id, String resumes, String lastEventId) {
        return RelayFixture.postRequest(
                "/resume/a", id, "Resumes: " + resumes + "\r\nLast-Event-Id: " + lastEventId + "\r\n", "x");
    }

    /** Failure: a stream goes on at another version although a target of its version is there. */
    @Test
    void brokenStreamGoesOnAtItsVersion() {
        for (int i = 0; i < 20; i++) {
            RelayFixture relay = relayOf("v1", "v2", "v1", "v2", "v3");
            relay.connectCaller().send(RelayFixture.getRequest("/resume/a", "a" + i));
            RelayFixture.FakeTargetConnection first = relay.latestTargetConnection();
            if (versionOf(relay, first).equals("v3")) {
                continue;
            }
            first.respond(RelayFixture.streamResponseHead("a" + i) + RelayFixture.chunk(FIRST_EVENT));
            first.close();

            assertEquals(2, relay.targetConnections.size());
            assertEquals(versionOf(relay, first), versionOf(relay, relay.latestTargetConnection()));
        }
    }

    /** Failure: the last target of a version broke a stream off, and another version goes on with it. */
    @Test
    void streamIsBrokenOffWhereNoTargetOfItsVersionIsLeft() {
        RelayFixture relay = relayOf("v1", "v2");
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/resume/a", "a1"));
        relay.latestTargetConnection().respond(RelayFixture.streamResponseHead("a1") + RelayFixture.chunk(FIRST_EVENT));
        relay.latestTargetConnection().close();

        assertEquals(1, relay.targetConnections.size());
        assertFalse(caller.takeReceived().endsWith(LAST_CHUNK));
        assertTrue(caller.isClosed());
    }

    @Test
    void anyVersionMayBeginStreamWhoseFirstTargetBroughtNoEvent() {
        RelayFixture relay = relayOf("v1", "v2");
        relay.connectCaller().send(RelayFixture.getRequest("/resume/a", "a1"));
        relay.latestTargetConnection()
                .respond(RelayFixture.streamResponseHead("a1") + RelayFixture.chunk(": comment\n\nid: 1\nda"));
        relay.latestTargetConnection().close();

        assertEquals(2, relay.targetConnections.size());
    }

    /** Failure: a caller takes up its stream and gets the events of another version, or once more after that. */
    @Test
    void streamThatCallerTakesUpGoesOnAtItsVersion() {
        for (int i = 0; i < 20; i++) {
            RelayFixture relay = relayOf("v1", "v2", "v3");
            relay.connectCaller().send(RelayFixture.getRequest("/resume/a", "a" + i));
            RelayFixture.FakeTargetConnection first = relay.latestTargetConnection();
            first.respond(RelayFixture.streamResponseHead("a" + i) + RelayFixture.chunk(FIRST_EVENT));
            first.reset();

            for (int lastEventId = 1; lastEventId <= 3; lastEventId++) {
                String attempt = "b" + i + "-" + lastEventId;
                relay.connectCaller().send(takeUp(attempt, "a" + i, Integer.toString(lastEventId)));
                RelayFixture.FakeTargetConnection next = relay.latestTargetConnection();
                assertEquals(versionOf(relay, first), versionOf(relay, next));
                assertTrue(next.takeReceived().contains("last-event-id: " + lastEventId));
                next.respond(RelayFixture.streamResponseHead(attempt)
                        + RelayFixture.chunk("id: " + (lastEventId + 1) + "\ndata: x\n\n"));
                next.reset();
            }
        }
    }

    /** Failure: two owners use one request id, and the stream of one goes on at the version of the other's. */
    @Test
    void streamsOfTwoOwnersWithOneRequestIdAreTwoStreams() {
        RelayFixture relay = new RelayFixture();
        relay.ownerKeys = Optional.of(new OwnerKeys(Map.of(
                new ApiKey("key-1"), new CallOwner("hall-1", OptionalInt.empty()),
                new ApiKey("key-2"), new CallOwner("hall-2", OptionalInt.empty()))));
        relay.withRoutes();
        for (int i = 1; i <= 2; i++) {
            withVersion(relay, "t" + i, "v" + i);
            relay.connectCaller()
                    .send(RelayFixture.postRequest("/resume/a", "same", "X-Api-Key: key-" + i + "\r\n", "x"));
            RelayFixture.FakeTargetConnection target = relay.latestTargetConnection();
            target.respond(RelayFixture.streamResponseHead("same") + RelayFixture.chunk(FIRST_EVENT));
            target.reset();
            relay.removeTarget("t" + i);
        }
        withVersion(relay, "u1", "v1");
        withVersion(relay, "u2", "v2");
        for (int i = 1; i <= 2; i++) {
            relay.connectCaller()
                    .send(RelayFixture.postRequest(
                            "/resume/a",
                            "again" + i,
                            "X-Api-Key: key-" + i + "\r\nResumes: same\r\nLast-Event-Id: 1\r\n",
                            "x"));
            assertEquals("v" + i, versionOf(relay, relay.latestTargetConnection()));
        }
    }

    /** Failure: a stream whose begin is not known goes on anywhere, or its caller learns too late that it does not. */
    @Test
    void streamOfUnknownVersionIsRefusedAtOnceAsNotRun() {
        RelayFixture relay = relayOf("v1", "v2");
        relay.streamOriginsDelegate = new Unknown();

        String received = relay.connectCaller().send(takeUp("b1", "a1", "4")).takeReceived();

        assertTrue(received.startsWith("HTTP/1.1 503 ") && received.contains("retry-after: 0.2"), received);
        assertEquals(0, relay.targetConnections.size());
        assertEquals(0, relay.service.openCallsCount());
    }

    /** Failure: a caller that names a stream of which it has no event is held to a version, or refused. */
    @Test
    void attemptWithoutEventsBeginsAnew() {
        RelayFixture relay = relayOf("v1", "v2");
        relay.streamOriginsDelegate = new Unknown();

        relay.connectCaller().send(RelayFixture.postRequest("/resume/a", "b1", "Resumes: a1\r\n", "x"));

        assertEquals(1, relay.targetConnections.size());
    }

    /** Failure: a target starts again under its id with another version while its connection is opened. */
    @Test
    void targetThatChangedItsVersionBeforeTheSendGetsNoPartOfTheStream() {
        RelayFixture relay = relayOf("v1", "v1", "v2");
        relay.connectCaller().send(RelayFixture.getRequest("/resume/a", "a1"));
        while (versionOf(relay, relay.latestTargetConnection()).equals("v2")) {
            relay.latestTargetConnection().reset();
            relay.connectCaller().send(RelayFixture.getRequest("/resume/a", "a1"));
        }
        RelayFixture.FakeTargetConnection first = relay.latestTargetConnection();
        String other = first.targetId().equals("t0") ? "t1" : "t0";
        relay.delayedTargetIds.add(other);
        first.respond(RelayFixture.streamResponseHead("a1") + RelayFixture.chunk(FIRST_EVENT));
        first.reset();

        withVersion(relay, other, "v2");
        relay.completeDelayedConnects();

        assertEquals("", relay.latestTargetConnection().takeReceived());
    }

    /** Failure: the answer to the question comes after the caller has left, and the call is sent for nobody. */
    @Test
    void originThatIsFoundAfterCallerLeftSendsNothing() {
        RelayFixture relay = relayOf("v1");
        Late late = new Late();
        relay.streamOriginsDelegate = late;
        RelayFixture.FakeCaller caller = relay.connectCaller().send(takeUp("b1", "a1", "4"));

        caller.disconnect();
        late.onFound.accept(new StreamOrigin.Known("desk", "v1", StreamOrigin.Source.ASKED, 5));

        assertEquals(0, relay.targetConnections.size());
        assertEquals(0, relay.service.openCallsCount());
    }

    private static final class Unknown implements StreamOrigins {
        @Override
        public void recordBegin(StreamId _stream, String _softwareVersion, OptionalLong _callerMillis) {}

        @Override
        public void find(StreamTakeUp _takeUp, Consumer<StreamOrigin> onFound) {
            onFound.accept(new StreamOrigin.Unknown("no_record"));
        }
    }

    private static final class Late implements StreamOrigins {
        private Consumer<StreamOrigin> onFound;

        @Override
        public void recordBegin(StreamId _stream, String _softwareVersion, OptionalLong _callerMillis) {}

        @Override
        public void find(StreamTakeUp _takeUp, Consumer<StreamOrigin> onFoundLater) {
            onFound = onFoundLater;
        }
    }
}
