package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.request.Quarantine;
import org.dogwoodwinch.request.SuspectRegistry;
import org.dogwoodwinch.request.SuspicionNotice;
import org.junit.jupiter.api.Test;

class SuspicionsTest {

    private static final String CRASHING_REQUEST = RelayFixture.postRequest("/once/p", "p1", "", "poison");

    private final RelayFixture relay = new RelayFixture().withRoutes();
    private long startsCount;

    private String listNewTarget() {
        String id = "t" + startsCount++;
        relay.withTarget(new Incarnation(id, "desk", "10.0.0.1", 80, "dc-1", 6, false, Stage.WHOLE, 0));
        return id;
    }

    private void crashTarget(RelayFixture.FakeTargetConnection target) {
        target.close();
        relay.directory.apply(target.targetId(), 1_000 + startsCount, Optional.empty());
        relay.service.handleTargetLost(target.targetId());
    }

    /**
     * Failure: a call crashes each target that runs it, and its caller resends it after every failure. The first crash
     * makes it suspect; the second, while it runs alone on its target, quarantines it. Other calls are still served.
     */
    @Test
    void callThatCrashesTargetsIsRefusedAfterSecondCrash() {
        int crashesCount = 0;
        for (int i = 0; i < 10; i++) {
            listNewTarget();
            int connectionsBefore = relay.targetConnections.size();
            String response = relay.connectCaller().send(CRASHING_REQUEST).takeReceived();
            if (relay.targetConnections.size() > connectionsBefore) {
                crashTarget(relay.latestTargetConnection());
                crashesCount++;
            } else {
                assertTrue(response.startsWith("HTTP/1.1 503 "), response);
            }
        }
        assertEquals(2, crashesCount);

        relay.connectCaller().send(RelayFixture.postRequest("/once/p", "q1", "", "harmless"));
        assertTrue(relay.latestTargetConnection().takeReceived().endsWith("harmless"));
    }

    /** Connections break while their target keeps working: the call is not quarantined, however often that happens. */
    @Test
    void connectionResetsAloneDoNotQuarantineCall() {
        listNewTarget();
        for (int i = 0; i < 5; i++) {
            relay.connectCaller().send(CRASHING_REQUEST);
            relay.latestTargetConnection().reset();
        }
        long fingerprint = fingerprint(callTo("/once/p", RelayFixture.HOST));
        assertFalse(relay.suspects.statusOf(fingerprint) == Quarantine.Status.QUARANTINED);
        assertEquals(5, relay.targetConnections.size());
    }

    /** Failure: callers of a target that answers twice become suspects when it is replaced, and are held back. */
    @Test
    void callWhoseAnswerIsNotProvedIsNoSuspectWhenItsTargetIsGone() {
        listNewTarget();
        relay.connectCaller().send(CRASHING_REQUEST);
        RelayFixture.FakeTargetConnection target = relay.latestTargetConnection();
        target.respond("HTTP/1.1 200 OHTTP/1.1 500 No\r\nRequest-Id: p1\r\nContent-Length: 0\r\n\r\n");

        crashTarget(target);

        assertEquals(
                Quarantine.Status.CLEAR, relay.suspects.statusOf(fingerprint(callTo("/once/p", RelayFixture.HOST))));
    }

    /** The call ran beside the one that crashed the target. Its completion on a later attempt clears the suspicion. */
    @Test
    void callRunningDuringCrashIsClearedByCompletion() {
        listNewTarget();
        relay.connectCaller().send(RelayFixture.postRequest("/once/i", "i1", "", "innocent"));
        crashTarget(relay.latestTargetConnection());
        listNewTarget();
        for (int i = 0; i < 3; i++) {
            RelayFixture.FakeCaller caller =
                    relay.connectCaller().send(RelayFixture.postRequest("/once/i", "i2", "", "innocent"));
            relay.latestTargetConnection().respond(RelayFixture.successResponse("i2", "done"));
            assertTrue(caller.takeReceived().endsWith("done"));
        }
    }

    /** The notices of the other instance quarantine the call here, although it never ran on this instance. */
    @Test
    void callQuarantinedByAnotherInstanceIsQuarantinedHere() {
        List<SuspicionNotice> sentNotices = new ArrayList<>();
        SuspectRegistry peerRegistry = new SuspectRegistry(relay.time, 600_000, 600_000, sentNotices::add);
        long fingerprint = 99;
        peerRegistry.onCrash(fingerprint, "a", "t");
        peerRegistry.onTrialStarted(fingerprint, "b", "t2");
        peerRegistry.onCrash(fingerprint, "b", "t2");

        sentNotices.forEach(notice -> relay.suspects.onPeerNotice(notice, 0));

        assertEquals(Quarantine.Status.QUARANTINED, relay.suspects.statusOf(fingerprint));
    }

    /** Guards against a call that ends target after target at the instance that finds the last crash. */
    @Test
    void callIsNotSentAgainWhenSecondCrashOfItsRetryIsFoundLater() {
        String request = RelayFixture.postRequest("/safe/p", "p1", "", "poison");
        for (int i = 0; i < 4; i++) {
            listNewTarget();
        }
        for (int i = 0; i < 2; i++) {
            relay.connectCaller().send(request);
            RelayFixture.FakeTargetConnection first = relay.latestTargetConnection();
            first.close();
            RelayFixture.FakeTargetConnection second = relay.latestTargetConnection();
            second.close();
            crashTarget(first);
            crashTarget(second);
        }
        listNewTarget();
        int connectionsBefore = relay.targetConnections.size();

        String response = relay.connectCaller().send(request).takeReceived();

        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertEquals(connectionsBefore, relay.targetConnections.size());
    }

    /** Guards against a request that ends an engine in its first stage and is never suspected. */
    @Test
    void callLostInPrefillBecomesSuspectWhenItsEngineIsGone() {
        relay.withEngine("p1", Stage.PREFILL).withEngine("d1", Stage.DECODE);
        IncomingCall prompt = sendPrompt("m1");
        RelayFixture.FakeTargetConnection prefill = relay.latestTargetConnection();
        assertEquals("p1", prefill.targetId());

        crashTarget(prefill);

        assertEquals(Quarantine.Status.SUSPECT, relay.suspects.statusOf(fingerprint(prompt)));
    }

    /** Guards against a request that ends its target in the middle of an event and is never suspected. */
    @Test
    void streamCutWithinEventBecomesSuspectWhenItsTargetIsGone() {
        listNewTarget();
        relay.connectCaller().send(RelayFixture.postRequest("/resume/p", "p1", "", "poison"));
        RelayFixture.FakeTargetConnection target = relay.latestTargetConnection();
        target.respond(RelayFixture.streamResponseHead("p1") + RelayFixture.chunk("id: 1\ndata: half") + "0\r\n\r\n");

        crashTarget(target);

        assertEquals(
                Quarantine.Status.SUSPECT,
                relay.suspects.statusOf(fingerprint(callTo("/resume/p", RelayFixture.HOST))));
    }

    /** Guards against a crash that is missed because another target answers at the address before it is noticed. */
    @Test
    void callBecomesSuspectWhenAnotherTargetAnswersAtTheAddress() {
        listNewTarget();
        relay.connectCaller().send(CRASHING_REQUEST);
        relay.latestTargetConnection().close();
        relay.time.advanceMillis(1_000);

        relay.connectCaller().send(RelayFixture.postRequest("/once/q", "q1", "", "harmless"));
        relay.latestTargetConnection()
                .respond("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: q1\r\nContent-Length: 0\r\n\r\n");

        assertEquals(
                Quarantine.Status.SUSPECT, relay.suspects.statusOf(fingerprint(callTo("/once/p", RelayFixture.HOST))));
    }

    /** Guards against a success of another caller that clears a request which ends targets. */
    @Test
    void equalRequestsOfOtherCallersAreNotTheSame() {
        IncomingCall call = callTo("/once/p", RelayFixture.HOST);
        long fingerprint = Suspicions.fingerprint(call, Optional.of("owner-1"));

        assertNotEquals(fingerprint, Suspicions.fingerprint(call, Optional.of("owner-2")));
        assertNotEquals(fingerprint, Suspicions.fingerprint(call, Optional.empty()));
        assertNotEquals(
                fingerprint, Suspicions.fingerprint(callTo("/once/p", "other.example"), Optional.of("owner-1")));
        assertEquals(
                fingerprint,
                Suspicions.fingerprint(
                        callTo("/once/p", RelayFixture.HOST.toUpperCase(Locale.ROOT)), Optional.of("owner-1")));
    }

    /** Guards against a call under which two targets have ended and that is sent to two more at its next arrival. */
    @Test
    void callUnderWhichTwoTargetsEndedIsSentOnceOnly() {
        String request = RelayFixture.postRequest("/safe/p", "p1", "", "poison");
        IncomingCall call = callTo("/safe/p", RelayFixture.HOST);
        relay.suspects.onCrash(fingerprint(call), "a", "gone-1");
        relay.suspects.onCrash(fingerprint(call), "a", "gone-2");
        listNewTarget();
        listNewTarget();
        RelayFixture.FakeCaller caller = relay.connectCaller().send(request);
        assertEquals(1, relay.targetConnections.size());

        relay.latestTargetConnection().close();

        assertTrue(caller.takeReceived().startsWith("HTTP/1.1 502 "));
        assertEquals(1, relay.targetConnections.size());
    }

    /** Guards against a call that is quarantined while it waits for its connection and is sent all the same. */
    @Test
    void callThatIsQuarantinedWhileItWaitsIsNotSentAgain() {
        listNewTarget();
        listNewTarget();
        RelayFixture.FakeCaller caller =
                relay.connectCaller().send(RelayFixture.postRequest("/safe/p", "p1", "", "poison"));
        for (int i = 0; i < 3; i++) {
            relay.suspects.onCrash(fingerprint(callTo("/safe/p", RelayFixture.HOST)), "a", "gone-" + i);
        }

        relay.latestTargetConnection()
                .respond("HTTP/1.1 503 Busy\r\nRequest-Id: p1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");

        assertTrue(caller.takeReceived().startsWith("HTTP/1.1 503 "));
        assertEquals(1, relay.targetConnections.size());
    }

    /** Guards against callers that come back for nothing as long as the quarantine lasts. */
    @Test
    void refusalTellsWhenQuarantineEnds() {
        for (int i = 0; i < 3; i++) {
            relay.suspects.onCrash(fingerprint(callTo("/once/p", RelayFixture.HOST)), "a", "gone-" + i);
        }
        relay.time.advanceMillis(10_000);

        String response = relay.connectCaller().send(CRASHING_REQUEST).takeReceived();

        assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after: 50.000"), response);
    }

    /** Guards against a call that ends the same target over and over because it starts again under its id. */
    @Test
    void crashesOfTargetThatStartsAgainUnderItsIdAreCounted() {
        relay.withTarget(new Incarnation("t", "desk", "10.0.0.1", 80, "dc-1", 6, false, Stage.WHOLE, 1, 5_000));
        IncomingCall call = callTo("/once/p", RelayFixture.HOST);
        relay.suspects.onPeerNotice(new SuspicionNotice(SuspicionNotice.Kind.TRIAL, 7, "t", 60_000), 0);
        for (int i = 0; i < 3; i++) {
            relay.connectCaller().send(CRASHING_REQUEST);
            relay.latestTargetConnection().close();
            relay.restartTarget("t");
            relay.time.advanceMillis(5_000);
        }
        assertEquals(Quarantine.Status.QUARANTINED, relay.suspects.statusOf(fingerprint(call)));
    }

    private IncomingCall sendPrompt(String id) {
        relay.connectCaller()
                .send(RelayFixture.postRequest(
                        "/model/p", id, "Model: m\r\nToken-Count: 9000,8\r\nPrompt-Prefix: 5c:9000\r\n", "poison"));
        return callTo("/model/p", RelayFixture.HOST);
    }

    private static long fingerprint(IncomingCall call) {
        return Suspicions.fingerprint(call, Optional.empty());
    }

    private static IncomingCall callTo(String uri, String host) {
        return new IncomingCall(
                HttpMethod.POST, uri, new DefaultHttpHeaders().set("host", host), Bytes.ofUtf8("poison"), true, 0);
    }
}
