package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.ApiKey;
import org.dogwoodwinch.forwarding.CallOwner;
import org.dogwoodwinch.forwarding.OwnerKeys;
import org.dogwoodwinch.request.Quarantine;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PassedOnCallsTest {

    private static final Set<String> NAMES = Set.of("a", "b", "c");
    private static final List<String> TARGETS = List.of("t0", "t1", "t2");

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final RelayFixture cut = new RelayFixture(50, time, "a", NAMES).withRoutes();
    private final RelayFixture sound = new RelayFixture(50, time, "b", NAMES).withRoutes();

    @BeforeEach
    void cutOff() {
        for (RelayFixture instance : List.of(cut, sound)) {
            TARGETS.forEach(instance::withPlainTarget);
            instance.service.startIsolationWatch();
        }
        cut.neighbourLinks.add("b", sound);
        cut.unreachableTargetIds.addAll(TARGETS);
        cut.connectCaller().send(RelayFixture.getRequest("/safe/x", "x1"));
        time.advanceMillis(200);
    }

    private RelayFixture.FakeCaller send(String text) {
        RelayFixture.FakeCaller caller = cut.connectCaller().send(text);
        cut.neighbourLinks.deliver();
        return caller;
    }

    private String received(RelayFixture.FakeCaller caller) {
        cut.neighbourLinks.deliver();
        return caller.takeReceived();
    }

    /** Guards against callers that are refused by an instance that is cut off while others have room. */
    @Test
    void callsOfInstanceThatIsCutOffAreServedByAnother() {
        assertTrue(cut.service.isIsolated());
        assertEquals(List.of(true), cut.neighbourLinks.toldIsolation);
        for (String path : List.of("/safe/p", "/once/p")) {
            RelayFixture.FakeCaller caller = send(RelayFixture.postRequest(path, "p1", "", "question"));
            RelayFixture.FakeTargetConnection target = sound.latestTargetConnection();
            assertTrue(target.takeReceived().endsWith("question"));

            target.respond(RelayFixture.successResponse("p1", "done"));

            String response = received(caller);
            assertTrue(response.startsWith("HTTP/1.1 200 ") && response.endsWith("done"), response);
            assertTrue(response.toLowerCase(Locale.ROOT).contains("server-stamp: s-p1"), response);
        }
    }

    /** Guards against a stream that arrives at its end only, or without its end. */
    @Test
    void eventsArePassedOnAsTheyArrive() {
        RelayFixture.FakeCaller caller = send(RelayFixture.postRequest("/stream/p", "p1", "", "q"));
        RelayFixture.FakeTargetConnection target = sound.latestTargetConnection();
        target.respond(RelayFixture.streamResponseHead("p1") + RelayFixture.chunk("id: 1\ndata: a\n\n"));
        String first = received(caller);
        assertTrue(first.contains("data: a") && !first.endsWith("0\r\n\r\n"), first);

        target.respond(RelayFixture.chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");

        String rest = received(caller);
        assertTrue(rest.contains("data: b") && rest.endsWith("0\r\n\r\n"), rest);
    }

    /** Guards against a stream that looks complete though the other instance broke it off. */
    @Test
    void streamThatIsBrokenOffThereIsBrokenOffHere() {
        RelayFixture.FakeCaller caller = send(RelayFixture.postRequest("/stream/p", "p1", "", "q"));
        RelayFixture.FakeTargetConnection target = sound.latestTargetConnection();
        target.respond(RelayFixture.streamResponseHead("p1") + RelayFixture.chunk("id: 1\ndata: a\n\n"));
        target.reset();

        assertFalse(received(caller).endsWith("0\r\n\r\n"));
        assertTrue(caller.isClosed());
    }

    /** Guards against a target that is given more time than the caller waits. */
    @Test
    void deadlineIsWhatIsLeftOfTheCallers() {
        String request = RelayFixture.postRequest("/safe/p", "p1", "Deadline-Ms: 300\r\n", "question");
        RelayFixture.FakeCaller caller = cut.connectCaller().send(request.substring(0, request.length() - 4));
        time.advanceMillis(100);
        caller.send(request.substring(request.length() - 4));
        cut.neighbourLinks.deliver();

        String received = sound.latestTargetConnection().takeReceived().toLowerCase(Locale.ROOT);

        assertTrue(received.contains("deadline-ms: 200"), received);
    }

    /** Guards against work that goes on for a caller that has left. */
    @Test
    void callerThatLeavesEndsTheCallAtTheTarget() {
        RelayFixture.FakeCaller caller = send(RelayFixture.postRequest("/stream/p", "p1", "", "q"));
        RelayFixture.FakeTargetConnection target = sound.latestTargetConnection();
        assertTrue(target.isOpen());

        caller.disconnect();
        cut.neighbourLinks.deliver();

        assertFalse(target.isOpen());
    }

    /** Guards against a call that goes from instance to instance. */
    @Test
    void callIsNotPassedOnASecondTime() {
        RelayFixture third = new RelayFixture(50, time, "c", NAMES).withRoutes();
        TARGETS.forEach(third::withPlainTarget);
        sound.neighbourLinks.add("c", third);
        sound.unreachableTargetIds.addAll(TARGETS);
        sound.connectCaller().send(RelayFixture.getRequest("/safe/x", "x1"));
        time.advanceMillis(200);
        assertTrue(sound.service.isIsolated());

        String response = received(send(RelayFixture.getRequest("/safe/p", "p1")));

        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after: 0.200"), response);
        assertTrue(third.targetConnections.isEmpty());
    }

    /** Guards against callers that wait for an instance that is gone, or that is cut off as well. */
    @Test
    void anotherInstanceTakesOverWhenOneCannot() {
        RelayFixture third = new RelayFixture(50, time, "c", NAMES).withRoutes().withPlainTarget("t0");
        cut.neighbourLinks.add("c", third);
        cut.neighbourLinks.unreachableNames.add("b");
        send(RelayFixture.getRequest("/safe/p", "p1"));
        assertEquals(1, third.targetConnections.size());

        cut.neighbourLinks.unreachableNames.clear();
        cut.neighbourLinks.isolatedNames.add("b");
        for (int i = 0; i < 5; i++) {
            send(RelayFixture.getRequest("/safe/p", "q" + i));
        }
        assertTrue(sound.targetConnections.isEmpty());
    }

    /** Guards against a refusal that claims that a call has not run though another instance may have run it. */
    @Test
    void callLostWithTheOtherInstanceMayHaveRun() {
        RelayFixture.FakeCaller caller = send(RelayFixture.postRequest("/once/p", "p1", "", "q"));

        cut.neighbourLinks.breakLatest();

        assertTrue(received(caller).startsWith("HTTP/1.1 502 "));
        assertEquals(1, sound.targetConnections.size());
    }

    @Test
    void callIsRefusedAtOnceWhenNoInstanceAcceptsConnections() {
        cut.neighbourLinks.unreachableNames.add("b");
        String response = received(send(RelayFixture.postRequest("/once/p", "p1", "", "q")));
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after: "), response);
    }

    /** Guards against calls that are held back although all targets can be reached again. */
    @Test
    void callsAreSentDirectlyAgainAfterTheCut() {
        cut.unreachableTargetIds.clear();
        time.advanceMillis(700);
        assertFalse(cut.service.isIsolated());
        assertEquals(List.of(true, false), cut.neighbourLinks.toldIsolation);

        send(RelayFixture.getRequest("/safe/p", "p1"));

        assertTrue(sound.targetConnections.isEmpty());
        assertEquals(TARGETS.size(), cut.directory.readyTargets("desk").size());
        assertTrue(TARGETS.stream().noneMatch(cut.health::isEjected));
    }

    /** Guards against instances that give their calls to each other when a service is down everywhere. */
    @Test
    void callsAreNotPassedOnWhenAllInstancesAreCutOff() {
        cut.neighbourLinks.isolatedNames.add("b");
        String response = received(send(RelayFixture.getRequest("/safe/p", "p1")));
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertEquals(0, cut.neighbourLinks.openLinksCount());
    }

    /** Guards against harmless calls that the fleet suspects because one instance was cut off. */
    @Test
    void callsLostInACutAreNoSuspects() {
        RelayFixture instance = new RelayFixture(50, time, "c", NAMES).withRoutes();
        TARGETS.forEach(instance::withPlainTarget);
        instance.service.startIsolationWatch();
        instance.connectCaller().send(RelayFixture.postRequest("/once/p", "p1", "", "q"));
        RelayFixture.FakeTargetConnection lost = instance.latestTargetConnection();
        instance.unreachableTargetIds.addAll(TARGETS);
        lost.reset();
        instance.connectCaller().send(RelayFixture.getRequest("/safe/x", "x1"));
        time.advanceMillis(200);
        assertTrue(instance.service.isIsolated());
        instance.service.handleTargetLost(lost.targetId());

        IncomingCall call = new IncomingCall(
                HttpMethod.POST,
                "/once/p",
                new DefaultHttpHeaders().set("host", RelayFixture.HOST),
                Bytes.ofUtf8("q"),
                true,
                0);
        assertEquals(
                Quarantine.Status.CLEAR, instance.suspects.statusOf(Suspicions.fingerprint(call, Optional.empty())));
    }

    /** Guards against calls that wait until their deadline on connections that carry nothing. */
    @Test
    void silentCutIsFoundByCallsThatWait() {
        RelayFixture instance = new RelayFixture(50, time, "c", NAMES).withRoutes();
        TARGETS.forEach(instance::withPlainTarget);
        instance.neighbourLinks.add("b", sound);
        instance.service.startIsolationWatch();
        for (int i = 0; i < 4; i++) {
            instance.connectCaller().send(RelayFixture.postRequest("/stream/p", "p" + i, "", "q"));
        }
        instance.silentTargetIds.addAll(TARGETS);
        time.advanceMillis(2_000);

        assertTrue(instance.service.isIsolated());
    }

    /** Guards against a target that receives the caller's key, or no owner, of a call that was passed on. */
    @Test
    void keyIsCheckedWhereTheCallIsTakenOver() {
        sound.ownerKeys = Optional.of(
                new OwnerKeys(Map.of(new ApiKey("secret-key"), new CallOwner("hall-1", OptionalInt.empty()))));
        sound.withRoutes();
        assertTrue(received(send(RelayFixture.postRequest("/once/p", "p1", "X-Api-Key: other\r\n", "q")))
                .startsWith("HTTP/1.1 401 "));

        send(RelayFixture.postRequest("/once/p", "p2", "X-Api-Key: secret-key\r\n", "q"));

        String request = sound.latestTargetConnection().takeReceived().toLowerCase(Locale.ROOT);
        assertTrue(request.contains("tenant: hall-1"), request);
        assertFalse(request.contains("secret-key"), request);
    }

    /** Guards against calls that are refused because an instance stops, or has just started, while others are well. */
    @Test
    void anotherInstanceTakesOverWhatOneDoesNot() {
        RelayFixture third = new RelayFixture(50, time, "c", NAMES).withRoutes().withPlainTarget("t0");
        sound.service.stopAccepting();
        cut.neighbourLinks.add("c", third);
        for (int i = 0; i < 10; i++) {
            RelayFixture.FakeCaller caller = send(RelayFixture.getRequest("/once/p", "p" + i));
            third.latestTargetConnection().respond(RelayFixture.successResponse("p" + i, "done"));
            assertTrue(received(caller).endsWith("done"));
        }
        assertTrue(sound.targetConnections.isEmpty());
    }

    @Test
    void internalStatementDoesNotReachTheCaller() {
        sound.service.stopAccepting();
        String response = received(send(RelayFixture.getRequest("/once/p", "p1")));
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertFalse(response.contains("x-dogwoodwinch"), response);
    }

    /** Guards against sends beyond the quota by calls that a target may have received before they are passed on. */
    @Test
    void waitingCallThatWasWrittenIsNotPassedOnWithoutARetry() {
        RelayFixture instance = instanceBesideSoundOne(0);
        instance.connectCaller().send(RelayFixture.getRequest("/resume/p", "p1"));
        RelayFixture.FakeTargetConnection silent = instance.latestTargetConnection();
        instance.connectCaller().send(RelayFixture.postRequest("/stream/p", "o1", "", "q"));
        instance.silentTargetIds.addAll(TARGETS);
        time.advanceMillis(2_000);
        assertTrue(instance.service.isIsolated());
        instance.neighbourLinks.deliver();

        assertTrue(sound.targetConnections.isEmpty());
        assertTrue(silent.isOpen());
    }

    private RelayFixture instanceBesideSoundOne() {
        return instanceBesideSoundOne(50);
    }

    private RelayFixture instanceBesideSoundOne(double slackShare) {
        RelayFixture instance = new RelayFixture(slackShare, time, "c", NAMES).withRoutes();
        TARGETS.forEach(instance::withPlainTarget);
        instance.neighbourLinks.add("b", sound);
        instance.service.startIsolationWatch();
        return instance;
    }

    /** Guards against a second response head within a stream that has begun and is sent again. */
    @Test
    void waitingStreamThatHasBegunIsNotPassedOn() {
        RelayFixture instance = instanceBesideSoundOne();
        RelayFixture.FakeCaller caller = instance.connectCaller().send(RelayFixture.getRequest("/resume/p", "p1"));
        RelayFixture.FakeTargetConnection first = instance.latestTargetConnection();
        first.respond(RelayFixture.streamResponseHead("p1") + RelayFixture.chunk("id: 1\ndata: a\n\n"));
        first.reset();
        assertEquals(2, instance.targetConnections.size());
        instance.connectCaller().send(RelayFixture.postRequest("/stream/p", "o1", "", "q"));
        instance.silentTargetIds.addAll(TARGETS);
        time.advanceMillis(2_000);
        assertTrue(instance.service.isIsolated());
        instance.neighbourLinks.deliver();

        assertTrue(sound.targetConnections.isEmpty());
        assertTrue(caller.takeReceived().endsWith("data: a\n\n\r\n"));
    }

    /** Guards against callers that wait until their deadline for targets that cannot answer this instance. */
    @Test
    void waitingCallsThatMayRunTwiceArePassedOnWhenASilentCutIsFound() {
        RelayFixture instance = instanceBesideSoundOne();
        RelayFixture.FakeCaller waiting = instance.connectCaller().send(RelayFixture.getRequest("/resume/p", "p1"));
        RelayFixture.FakeTargetConnection silent = instance.latestTargetConnection();
        RelayFixture.FakeCaller once =
                instance.connectCaller().send(RelayFixture.postRequest("/stream/p", "o1", "", "q"));
        instance.silentTargetIds.addAll(TARGETS);
        time.advanceMillis(2_000);
        assertTrue(instance.service.isIsolated());
        instance.neighbourLinks.deliver();

        assertFalse(silent.isOpen());
        assertEquals(1, sound.targetConnections.size());
        sound.latestTargetConnection()
                .respond(
                        RelayFixture.streamResponseHead("p1") + RelayFixture.chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n");
        instance.neighbourLinks.deliver();
        assertTrue(waiting.takeReceived().contains("data: a"));
        assertEquals("", once.takeReceived());
    }

    /** Guards against work that goes on for a caller that left after its call was passed on. */
    @Test
    void callerOfCallThatWasPassedOnWhileItWaitedEndsItByLeaving() {
        RelayFixture instance = instanceBesideSoundOne();
        RelayFixture.FakeCaller waiting = instance.connectCaller().send(RelayFixture.getRequest("/resume/p", "p1"));
        instance.connectCaller().send(RelayFixture.getRequest("/resume/p", "p2"));
        instance.silentTargetIds.addAll(TARGETS);
        time.advanceMillis(2_000);
        instance.neighbourLinks.deliver();
        assertEquals(2, sound.targetConnections.size());

        waiting.disconnect();
        instance.neighbourLinks.deliver();

        assertEquals(
                1,
                sound.targetConnections.stream()
                        .filter(RelayFixture.FakeTargetConnection::isOpen)
                        .count());
    }

    /** Guards against a call that goes from instance to instance because the one that took it over is cut off later. */
    @Test
    void callThatWasTakenOverIsNotPassedOnWhenItsInstanceIsCutOffLater() {
        RelayFixture third = new RelayFixture(50, time, "c", NAMES).withRoutes();
        TARGETS.forEach(third::withPlainTarget);
        sound.neighbourLinks.add("c", third);
        for (int i = 0; i < 3; i++) {
            send(RelayFixture.getRequest("/resume/p", "p" + i));
        }
        sound.silentTargetIds.addAll(TARGETS);
        time.advanceMillis(2_000);
        assertTrue(sound.service.isIsolated());

        sound.neighbourLinks.deliver();

        assertTrue(third.targetConnections.isEmpty());
    }
}
