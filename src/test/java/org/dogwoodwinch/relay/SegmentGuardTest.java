package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwinch.forwarding.CrashReport;
import org.dogwoodwinch.forwarding.CrashReport.BlamedSegment;
import org.dogwoodwinch.forwarding.HeldSegment;
import org.dogwoodwinch.forwarding.SegmentId;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

class SegmentGuardTest {

    /** The number of crashes, and of sends after them, that the platform's users allow over the whole fleet. */
    private static final int MAX_CRASHES = 5;

    private static final int MAX_LATER_SENDS = 3;

    private final SegmentLinks links = new SegmentLinks();
    private final RelayFixture relay =
            new RelayFixture(50, new VirtualTimeSource(1_000_000), "n1", Set.of("n1"), links).withRoutes();
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

    private void crashThreeTimes(String sharedSegments) {
        for (int i = 0; i < 3; i++) {
            startEngine();
            send(sharedSegments);
            crash(receiver().orElseThrow());
            relay.time.advanceMillis(100);
        }
    }

    private void holdBackUntilTrialIsDue() {
        crashThreeTimes("bad:50");
        startEngine();
        relay.time.advanceMillis(5_000);
    }

    private static void assertRefused(String response) {
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
    }

    /** Guards against a call that waits for its first stage while its segment is found to crash targets. */
    @Test
    void callHeldBackDuringItsFirstStageIsNotSentOn() {
        relay.withEngine("p1", Stage.PREFILL).withEngine("d1", Stage.DECODE);
        RelayFixture.FakeCaller caller = relay.connectCaller()
                .send(RelayFixture.postRequest(
                        "/model/p", "w", "Model: m\r\nToken-Count: 9000,8\r\nPrompt-Prefix: bad:8000,w:9\r\n", "w"));
        RelayFixture.FakeTargetConnection prefill = relay.latestTargetConnection();
        assertEquals("p1", prefill.targetId());
        holdBack("bad");

        prefill.respond("HTTP/1.1 200 OK\r\nRequest-Id: w\r\nContent-Length: 6\r\n\r\nhandle");

        assertRefused(caller.takeReceived());
        assertEquals(1, relay.targetConnections.size());
        assertEquals(List.of("p1/handle"), relay.releasedCaches);
    }

    /** Guards against a call that waits for its connection while its segment is found to crash targets. */
    @Test
    void callHeldBackDuringItsConnectIsNotWritten() {
        startEngine();
        relay.delayedTargetIds.add("e0");
        RelayFixture.FakeCaller caller = send("bad:50");
        holdBack("bad");

        relay.completeDelayedConnects();

        assertRefused(caller.takeReceived());
        assertTrue(receiver().isEmpty());
    }

    /** Guards against a first stage that is written after its segment was found to crash targets. */
    @Test
    void firstStageHeldBackDuringItsConnectIsNotWritten() {
        relay.withEngine("p1", Stage.PREFILL).withEngine("d1", Stage.DECODE);
        relay.delayedTargetIds.add("p1");
        RelayFixture.FakeCaller caller = relay.connectCaller()
                .send(RelayFixture.postRequest(
                        "/model/p", "w", "Model: m\r\nToken-Count: 9000,8\r\nPrompt-Prefix: bad:8000,w:9\r\n", "w"));
        holdBack("bad");

        relay.completeDelayedConnects();

        assertRefused(caller.takeReceived());
        assertEquals("", relay.latestTargetConnection().takeReceived());
    }

    /** Reports three crashes as another instance does. */
    private void holdBack(String segment) {
        for (int i = 0; i < 3; i++) {
            relay.segmentGuard.onPeerCrash(
                    new CrashReport("gone" + i, List.of(new BlamedSegment(new SegmentId("m", segment), false))),
                    0,
                    "n2");
        }
    }

    @Test
    void refusalTellsWhenASegmentIsTriedAgain() {
        crashThreeTimes("bad:50");

        String response = send("bad:50").takeReceived();

        assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after: 4.900"), response);
    }

    @Test
    void oneCallTriesTheSegmentAndABeginReleasesIt() {
        holdBackUntilTrialIsDue();

        RelayFixture.FakeCaller trying = send("bad:50");
        RelayFixture.FakeTargetConnection target = receiver().orElseThrow();
        String tryingId = latestId();
        assertRefused(send("bad:50").takeReceived());
        target.respond(RelayFixture.streamResponseHead(tryingId) + RelayFixture.chunk("id: 1\ndata: word\n\n"));

        assertTrue(trying.takeReceived().contains("word"));
        assertTrue(isServed(send("bad:50")));
    }

    @Test
    void crashedTrialIsFollowedByALongerPause() {
        holdBackUntilTrialIsDue();
        RelayFixture.FakeCaller trying = send("bad:50");
        crash(receiver().orElseThrow());
        startEngine();

        assertTrue(trying.takeReceived().startsWith("HTTP/1.1 502 "));
        relay.time.advanceMillis(59_000);
        assertRefused(send("bad:50").takeReceived());
        relay.time.advanceMillis(1_000);
        send("bad:50");
        assertTrue(receiver().isPresent());
    }

    /** Guards against a trial that never happens again because its call was turned away. */
    @Test
    void trialThatATargetTurnedAwayIsLeftForTheNextCall() {
        holdBackUntilTrialIsDue();
        RelayFixture.FakeCaller trying = send("bad:50");
        receiver()
                .orElseThrow()
                .respond("HTTP/1.1 503 Busy\r\nRequest-Id: " + latestId()
                        + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
        assertRefused(trying.takeReceived());

        assertTrue(isServed(send("bad:50")));
    }

    /** Guards against a call that is held until its deadline because the store does not answer. */
    @Test
    void callIsRefusedWhileTheStoreGrantsNoTrialAndTheNextOneTries() {
        holdBackUntilTrialIsDue();
        links.delaysClaims = true;

        RelayFixture.FakeCaller waiting = send("bad:50");
        assertEquals("", waiting.takeReceived());
        relay.time.advanceMillis(300);
        assertRefused(waiting.takeReceived());

        links.answerClaims();
        assertTrue(isServed(send("bad:50")));
    }

    @Test
    void callWhoseCallerLeftWhileItWaitedIsNotSent() {
        holdBackUntilTrialIsDue();
        links.delaysClaims = true;
        RelayFixture.FakeCaller waiting = send("bad:50");
        waiting.disconnect();

        links.answerClaims();

        assertTrue(receiver().isEmpty());
        assertTrue(isServed(send("bad:50")));
    }

    /** Guards against a trial that is begun though the store has granted it to another instance, which was not heard yet. */
    @Test
    void trialThatTheStoreDoesNotGrantIsNotBegun() {
        holdBackUntilTrialIsDue();
        links.trialsBySegment.replaceAll((_segment, count) -> count + 1);

        for (int i = 0; i < 3; i++) {
            assertRefused(send("bad:50").takeReceived());
            assertTrue(receiver().isEmpty());
        }
    }

    /** Guards against instances that each try a segment. */
    @Test
    void oneInstanceOfTheFleetTries() {
        RelayFixture other = new RelayFixture(50, relay.time, "n2", Set.of("n1", "n2"), links).withRoutes();
        other.withEngine("x1", Stage.WHOLE);
        holdBackUntilTrialIsDue();

        send("bad:50");
        RelayFixture.FakeCaller caller = other.connectCaller()
                .send(RelayFixture.postRequest(
                        "/model/p", "o", "Model: m\r\nToken-Count: 9,8\r\nPrompt-Prefix: bad:50,o:9\r\n", "o"));

        assertTrue(receiver().isPresent());
        assertRefused(caller.takeReceived());
        assertTrue(other.targetConnections.isEmpty());
    }

    /** Guards against calls beside a crash whose answers were under way. */
    @Test
    void segmentOfAnswersUnderWayIsNotHeldBack() {
        for (int i = 0; i < 4; i++) {
            startEngine();
            send("f1:100");
            RelayFixture.FakeTargetConnection target = receiver().orElseThrow();
            target.respond(RelayFixture.streamResponseHead(latestId()) + RelayFixture.chunk("id: 1\ndata: word\n\n"));
            crash(target);
        }
        startEngine();
        assertTrue(isServed(send("f1:100")));
    }

    /** Sends a call to one of two targets after another instance has told of a crash that its segment may have caused. */
    private void sendCallWithSuspectedSegment() {
        relay.segmentGuard.onPeerCrash(
                new CrashReport("gone", List.of(new BlamedSegment(new SegmentId("m", "bad"), false))), 0, "n2");
        relay.withPlainTarget("t1").withPlainTarget("t2");
        relay.connectCaller()
                .send(RelayFixture.postRequest(
                        "/safe/p", "s", "Model: m\r\nToken-Count: 9,8\r\nPrompt-Prefix: bad:50,s:9\r\n", "s"));
    }

    /** Guards against a lost call that ends a second target at once although its segment is suspected. */
    @Test
    void lostCallWithASuspectedSegmentIsNotSentAgain() {
        sendCallWithSuspectedSegment();

        relay.latestTargetConnection().close();

        assertTrue(relay.targetConnections.stream()
                .skip(1)
                .allMatch(connection -> connection.takeReceived().isEmpty()));
    }

    /** Guards against crashes that nobody notices until the entries of the targets expire. */
    @Test
    void crashIsFoundThoughNoOtherCallGoesToTheTarget() {
        for (int i = 0; i < 3; i++) {
            startEngine();
            send("bad:50");
            RelayFixture.FakeTargetConnection target = receiver().orElseThrow();
            relay.unreachableTargetIds.add(target.targetId());
            target.close();
            relay.time.advanceMillis(250);
        }
        startEngine();
        assertRefused(send("bad:50").takeReceived());
    }

    /** Guards against a connection that was reset and is taken for a crash. */
    @Test
    void resetOfAConnectionToATargetThatIsAliveIsNoCrash() {
        startEngine();
        for (int i = 0; i < 5; i++) {
            send("f1:100");
            receiver().orElseThrow().reset();
            relay.time.advanceMillis(5_000);
        }
        assertTrue(isServed(send("f1:100")));
    }

    /** Guards against a rejected call that is not sent again because its segment was in flight during one crash. */
    @Test
    void rejectedCallWithASuspectedSegmentIsSentAgain() {
        sendCallWithSuspectedSegment();

        relay.latestTargetConnection()
                .respond("HTTP/1.1 503 Busy\r\nRequest-Id: s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");

        assertEquals(2, relay.targetConnections.size());
    }

    /** Guards against a held segment that nobody recorded, because the instance that saw the last crash has ended. */
    @Test
    void instanceThatTellsAgainWhatIsHeldBackAlsoRecordsIt() {
        holdBack("bad");
        relay.time.advanceMillis(2_000);

        relay.segmentGuard.repeatHeld();

        assertEquals(Set.of(new SegmentId("m", "bad")), links.trialsBySegment.keySet());
    }

    /** Guards against instances that all tell a begin that one of them has told. */
    @Test
    void beginThatAnotherInstanceTellsMeanwhileIsNotToldAgain() {
        List<String> tellers = new ArrayList<>();
        links.onBegin = tellers::add;
        startEngine();
        assertTrue(isServed(send("f1:100")));
        relay.time.advanceMillis(1_000);
        relay.segmentGuard.onPeerHeld(new HeldSegment(new SegmentId("m", "f1"), 3, 0, 0, 5_000), 0, "n3");
        relay.segmentGuard.onPeerBegin(new SegmentId("m", "f1"), 500, "n3");

        relay.time.advanceMillis(1_000);

        assertEquals(List.of(), tellers);
    }

    @Test
    void operatorLiftsASegment() {
        crashThreeTimes("bad:50");
        startEngine();

        assertTrue(relay.segmentGuard.lift(new SegmentId("m", "bad")));

        assertTrue(isServed(send("bad:50")));
    }
}
