package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.ApiKey;
import org.dogwoodwinch.forwarding.CallOwner;
import org.dogwoodwinch.forwarding.HeldSegment;
import org.dogwoodwinch.forwarding.OwnerKeys;
import org.dogwoodwinch.forwarding.SegmentId;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.StreamId;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

/**
 * The end of an instance with calls under way, in each stage in which a call can be. The caller gets one answer that is
 * true, or sees its stream broken off, and no target receives anything later.
 */
class InstanceStopTest {

    private static final String KEY = "y5rcpihhacruddedev3n";
    private static final Set<String> NAMES = Set.of("a", "b", "c");
    private static final List<String> TARGETS = List.of("t0", "t1", "t2");
    private static final String FIRST_EVENT = RelayFixture.chunk("id: 1\ndata: a\n\n");

    private static final SegmentId HELD = new SegmentId("m", "bad");

    private final RelayFixture relay = new RelayFixture().withRoutes();

    private static void end(RelayFixture instance) {
        int openCount = instance.service.openCallsCount();
        instance.service.startDraining();
        instance.service.stopAccepting();
        assertEquals(openCount, instance.service.endOpenCalls());
        assertEquals(0, instance.service.openCallsCount());
    }

    private static void assertNotRun(RelayFixture.FakeCaller caller) {
        String response = caller.takeReceived();
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after: "), response);
        assertTrue(caller.isClosedAfterOneSecond());
    }

    private static void assertMayHaveRun(RelayFixture.FakeCaller caller) {
        String response = caller.takeReceived();
        assertTrue(response.startsWith("HTTP/1.1 502 ") && response.endsWith("may have run"), response);
        assertTrue(caller.isClosedAfterOneSecond());
    }

    private static void assertNothingMoreIsWritten(RelayFixture instance) {
        instance.targetConnections.forEach(RelayFixture.FakeTargetConnection::takeReceived);
        instance.completeDelayedConnects();
        instance.time.advanceMillis(10_000);
        for (RelayFixture.FakeTargetConnection connection : instance.targetConnections) {
            assertEquals("", connection.takeReceived());
        }
    }

    private RelayFixture.FakeCaller send(String path) {
        return relay.connectCaller().send(RelayFixture.postRequest(path, "a1", "", "question"));
    }

    @Test
    void callThatWaitsForConnectionIsRefused() {
        relay.withPlainTarget("t1").delayedTargetIds.add("t1");
        RelayFixture.FakeCaller caller = send("/safe/x");
        end(relay);

        assertNothingMoreIsWritten(relay);
        assertNotRun(caller);
    }

    @Test
    void callWhosePromptIsPrefilledIsRefused() {
        relay.withEngine("p1", Stage.PREFILL).withEngine("d1", Stage.DECODE);
        RelayFixture.FakeCaller caller = relay.connectCaller()
                .send(RelayFixture.postRequest(
                        "/model/a", "a1", "Model: m\r\nToken-Count: 2000,8\r\nPrompt-Prefix: 5c:1500,91:500\r\n", "x"));
        assertEquals("p1", relay.latestTargetConnection().targetId());
        end(relay);

        assertNotRun(caller);
        assertFalse(relay.targetConnections.get(0).isOpen());
        assertNothingMoreIsWritten(relay);
        assertEquals(1, relay.targetConnections.size());
    }

    /** Failure: the other instances' word arrives after the end, and the stream goes to a target. */
    @Test
    void callThatWaitsForOriginOfItsStreamIsRefused() {
        List<Consumer<StreamOrigin>> waiting = new ArrayList<>();
        relay.streamOriginsDelegate = new LateOrigins(waiting);
        relay.withPlainTarget("t1");
        RelayFixture.FakeCaller caller = relay.connectCaller()
                .send(RelayFixture.postRequest("/resume/a", "b1", "Resumes: a1\r\nLast-Event-Id: 3\r\n", "x"));
        end(relay);

        assertNotRun(caller);
        waiting.forEach(each -> each.accept(new StreamOrigin.Known("desk", "v1", StreamOrigin.Source.ASKED, 0)));
        assertEquals("", caller.takeReceived());
        assertEquals(List.of(), relay.targetConnections);
    }

    @Test
    void callThatWaitsForCapacityIsRefused() {
        relay.ownerKeys =
                Optional.of(new OwnerKeys(Map.of(new ApiKey(KEY), new CallOwner("hall-1", OptionalInt.empty()))));
        relay.withRoutes().withPlainTarget("t1");
        List<RelayFixture.FakeCaller> callers = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            callers.add(relay.connectCaller()
                    .send(RelayFixture.postRequest("/safe/x", "a" + i, "X-Api-Key: " + KEY + "\r\n", "x")));
        }
        assertEquals(2, relay.service.waitingCallsCount());
        end(relay);

        callers.subList(0, 6).forEach(InstanceStopTest::assertMayHaveRun);
        callers.subList(6, 8).forEach(InstanceStopTest::assertNotRun);
        assertNothingMoreIsWritten(relay);
    }

    @Test
    void callThatWasSentMayHaveRun() {
        relay.withPlainTarget("t1").withPlainTarget("t2");
        for (String path : List.of("/safe/x", "/once/x", "/stream/x")) {
            RelayFixture.FakeCaller caller = send(path);
            assertEquals(1, relay.service.endOpenCalls());
            String response = caller.takeReceived();
            assertTrue(response.startsWith("HTTP/1.1 502 ") && response.endsWith("may have run"), response);
            assertFalse(relay.latestTargetConnection().isOpen());
        }
        assertNothingMoreIsWritten(relay);
    }

    /** Failure: the part of an answer that has arrived is passed on as if it were whole. */
    @Test
    void callWithPartOfItsAnswerMayHaveRun() {
        relay.withPlainTarget("t1");
        RelayFixture.FakeCaller caller = send("/safe/x");
        String whole = RelayFixture.successResponse("a1", "answer");
        relay.latestTargetConnection().respond(whole.substring(0, whole.length() - 3));
        end(relay);

        assertMayHaveRun(caller);
    }

    @Test
    void begunStreamIsBrokenOff() {
        relay.withPlainTarget("t1");
        RelayFixture.FakeCaller caller = send("/stream/x");
        relay.latestTargetConnection().respond(RelayFixture.streamResponseHead("a1") + FIRST_EVENT);
        end(relay);

        String received = caller.takeReceived();
        assertTrue(received.contains("data: a") && !received.endsWith("0\r\n\r\n"), received);
        assertTrue(caller.isClosed());
        assertFalse(relay.latestTargetConnection().isOpen());
    }

    /** Failure: a call that was lost at one target counts as not run while it waits for its second one. */
    @Test
    void callThatIsSentAgainMayHaveRun() {
        relay.withPlainTarget("t1").withPlainTarget("t2");
        RelayFixture.FakeCaller caller = send("/safe/x");
        relay.delayedTargetIds.addAll(List.of("t1", "t2"));
        relay.latestTargetConnection().takeReceived();
        relay.latestTargetConnection().reset();
        end(relay);

        assertNothingMoreIsWritten(relay);
        assertMayHaveRun(caller);
    }

    /** Failure: a request that is read after the end of the calls goes to a target, or stays without an answer. */
    @Test
    void requestThatIsReadAfterTheEndIsRefused() {
        relay.withPlainTarget("t1");
        RelayFixture.FakeCaller caller = relay.connectCaller();
        String request = RelayFixture.postRequest("/safe/x", "a1", "", "question");
        caller.send(request.substring(0, request.length() - 3));
        end(relay);
        caller.send(request.substring(request.length() - 3));

        assertNotRun(caller);
        assertEquals(List.of(), relay.targetConnections);
    }

    /** Instance a is cut off and passes its calls on to b. */
    private static final class Pair {

        private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
        private final RelayFixture cut = new RelayFixture(50, time, "a", NAMES).withRoutes();
        private final RelayFixture sound = new RelayFixture(50, time, "b", NAMES).withRoutes();

        private Pair() {
            for (RelayFixture instance : List.of(cut, sound)) {
                TARGETS.forEach(instance::withPlainTarget);
                instance.service.startIsolationWatch();
            }
            cut.neighbourLinks.add("b", sound);
            cut.unreachableTargetIds.addAll(TARGETS);
            cut.connectCaller().send(RelayFixture.getRequest("/safe/x", "x1"));
            time.advanceMillis(200);
            assertTrue(cut.service.isIsolated());
        }

        private RelayFixture.FakeCaller send(String path) {
            RelayFixture.FakeCaller caller =
                    cut.connectCaller().send(RelayFixture.postRequest(path, "p1", "", "question"));
            cut.neighbourLinks.deliver();
            return caller;
        }

        private void deliver() {
            cut.neighbourLinks.deliver();
        }
    }

    @Test
    void callThatWaitsForConnectionToOtherInstanceIsRefused() {
        Pair pair = new Pair();
        pair.cut.neighbourLinks.silentNames.add("b");
        RelayFixture.FakeCaller caller = pair.send("/once/x");
        end(pair.cut);

        assertNotRun(caller);
        pair.deliver();
        assertEquals(List.of(), pair.sound.targetConnections);
    }

    @Test
    void callThatWasPassedOnMayHaveRun() {
        Pair pair = new Pair();
        RelayFixture.FakeCaller caller = pair.send("/once/x");
        end(pair.cut);

        assertMayHaveRun(caller);
        pair.deliver();
        assertEquals(0, pair.sound.service.openCallsCount());
    }

    @Test
    void begunStreamOfOtherInstanceIsBrokenOff() {
        Pair pair = new Pair();
        RelayFixture.FakeCaller caller = pair.send("/stream/x");
        pair.sound.latestTargetConnection().respond(RelayFixture.streamResponseHead("p1") + FIRST_EVENT);
        pair.deliver();
        end(pair.cut);

        String received = caller.takeReceived();
        assertTrue(received.contains("data: a") && !received.endsWith("0\r\n\r\n"), received);
        assertTrue(caller.isClosed());
    }

    /** Failure: the caller of another instance is refused although a third instance could serve its call. */
    @Test
    void callThatWasTakenOverAndNotSentGoesToThirdInstance() {
        Pair pair = new Pair();
        RelayFixture third = new RelayFixture(50, pair.time, "c", NAMES).withRoutes();
        TARGETS.forEach(third::withPlainTarget);
        pair.sound.delayedTargetIds.addAll(TARGETS);
        RelayFixture.FakeCaller caller = pair.send("/once/x");
        assertEquals(1, pair.sound.service.openCallsCount());
        pair.cut.neighbourLinks.add("c", third);
        end(pair.sound);
        pair.deliver();

        third.latestTargetConnection().respond(RelayFixture.successResponse("p1", "done"));
        pair.deliver();
        String response = caller.takeReceived();
        assertTrue(response.startsWith("HTTP/1.1 200 ") && response.endsWith("done"), response);
        assertNothingMoreIsWritten(pair.sound);
    }

    @Test
    void callThatWasTakenOverAndSentMayHaveRun() {
        Pair pair = new Pair();
        RelayFixture.FakeCaller caller = pair.send("/once/x");
        end(pair.sound);
        pair.deliver();

        String response = caller.takeReceived();
        assertTrue(response.startsWith("HTTP/1.1 502 ") && response.endsWith("may have run"), response);
    }

    /** Failure: the store grants a trial of a segment after the end, and the call that waited for it is sent. */
    @Test
    void callThatWaitsForTrialOfItsSegmentIsRefused() {
        SegmentLinks links = new SegmentLinks();
        RelayFixture guarded =
                new RelayFixture(50, new VirtualTimeSource(1_000_000), "n1", Set.of("n1"), links).withRoutes();
        guarded.withEngine("e1", Stage.WHOLE).segmentGuard.onRecord(new HeldSegment(HELD, 3, 0, 0, 1_000));
        guarded.time.advanceMillis(5_000);
        links.delaysClaims = true;
        RelayFixture.FakeCaller caller = guarded.connectCaller()
                .send(RelayFixture.postRequest(
                        "/model/p", "a1", "Model: m\r\nToken-Count: 900,8\r\nPrompt-Prefix: bad:50,a1:9\r\n", "x"));
        assertEquals(1, guarded.service.openCallsCount());
        end(guarded);

        assertNotRun(caller);
        links.answerClaims();
        assertEquals("", caller.takeReceived());
        assertEquals(List.of(), guarded.targetConnections);
    }

    private record LateOrigins(List<Consumer<StreamOrigin>> waiting) implements StreamOrigins {
        @Override
        public void recordBegin(StreamId stream, String softwareVersion, OptionalLong callerMillis) {}

        @Override
        public void find(StreamTakeUp _takeUp, Consumer<StreamOrigin> onFound) {
            waiting.add(onFound);
        }
    }
}
