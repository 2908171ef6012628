package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.PrefillQueue;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.StreamId;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A stream of v1 is taken up while more and idler targets have v2, on each way that a call can go to a target. */
class TakenUpStreamTest {

    private static final int NEW_TARGETS_COUNT = 4;
    private static final String AFTER_THIRD_EVENT = "Resumes: a1\r\nLast-Event-Id: 3\r\n";
    private static final String NOT_RUN = "Request-Id: b1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

    private static RelayFixture relayOf(String... oldIds) {
        RelayFixture relay = new RelayFixture().withRoutes();
        addTargets(relay, oldIds);
        return relay;
    }

    private static void addTargets(RelayFixture relay, String... oldIds) {
        relay.streamOriginsDelegate = new BeganAtOldVersion();
        for (String id : oldIds) {
            add(relay, "desk", id, Stage.WHOLE, "v1");
        }
        for (int i = 0; i < NEW_TARGETS_COUNT; i++) {
            add(relay, "desk", "new" + i, Stage.WHOLE, "v2");
        }
    }

    private static void add(RelayFixture relay, String service, String id, Stage stage, String version) {
        int weightVersion = service.equals("reader") ? 1 : 0;
        relay.withTarget(
                new Incarnation(id, service, "10.0.0.2", 80, "dc-1", 64, false, stage, weightVersion, 0, version));
    }

    private static String takeUp(String body) {
        return RelayFixture.postRequest("/resume/a", "b1", AFTER_THIRD_EVENT, body);
    }

    private static void assertSentTo(RelayFixture relay, String... ids) {
        assertEquals(
                List.of(ids),
                relay.targetConnections.stream()
                        .filter(connection -> !connection.takeReceived().isEmpty())
                        .map(RelayFixture.FakeTargetConnection::targetId)
                        .toList());
    }

    /** Failure: no connection to the chosen target opens, and the choice that follows takes any version. */
    @Test
    void targetOfItsVersionThatCannotBeReachedIsFollowedByAnotherOfIt() {
        RelayFixture relay = relayOf("old0", "old1");
        relay.unreachableTargetIds.add("old0");
        relay.connectCaller().send(takeUp("x"));
        assertSentTo(relay, "old1");

        relay = relayOf("old0");
        relay.unreachableTargetIds.add("old0");
        assertTrue(relay.connectCaller().send(takeUp("x")).takeReceived().startsWith("HTTP/1.1 503 "));
        assertSentTo(relay);
    }

    /** Failure: the chosen target leaves while its connection is opened, and the call goes to another version. */
    @Test
    void targetOfItsVersionThatLeavesBeforeTheSendIsFollowedByAnotherOfIt() {
        RelayFixture relay = relayOf("old0");
        relay.delayedTargetIds.add("old0");
        relay.connectCaller().send(takeUp("x"));
        add(relay, "desk", "old1", Stage.WHOLE, "v1");
        relay.markDraining("old0").completeDelayedConnects();
        assertSentTo(relay, "old1");

        relay = relayOf("old0");
        relay.delayedTargetIds.add("old0");
        RelayFixture.FakeCaller caller = relay.connectCaller().send(takeUp("x"));
        relay.markDraining("old0").completeDelayedConnects();
        assertTrue(caller.takeReceived().startsWith("HTTP/1.1 503 "));
        assertSentTo(relay);
    }

    /** Failure: a target states that it did not run the call, and the retry takes any version. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 Busy\r\n" + NOT_RUN,
                "HTTP/1.1 421 Misdirected\r\nInstance-Id: t9\r\nContent-Length: 0\r\n\r\n"
            })
    void targetOfItsVersionThatDidNotRunTheCallIsFollowedByAnotherOfIt(String rejection) {
        RelayFixture relay = relayOf("old0");
        relay.connectCaller().send(takeUp("x"));
        add(relay, "desk", "old1", Stage.WHOLE, "v1");
        relay.latestTargetConnection().respond(rejection);
        assertSentTo(relay, "old0", "old1");

        relay = relayOf("old0");
        RelayFixture.FakeCaller caller = relay.connectCaller().send(takeUp("x"));
        relay.latestTargetConnection().respond(rejection);
        assertTrue(caller.takeReceived().startsWith("HTTP/1.1 503 "));
        assertSentTo(relay, "old0");
    }

    /** Failure: the only target of its version rests, and its caller is told to come back before that is over. */
    @Test
    void callerComesBackWhenATargetOfItsVersionHasCapacity() {
        RelayFixture relay = relayOf("old0");
        RelayFixture.FakeCaller caller = relay.connectCaller().send(takeUp("x"));
        relay.latestTargetConnection().respond("HTTP/1.1 503 Busy\r\nRetry-After: 1\r\n" + NOT_RUN);

        String received = caller.takeReceived();
        String retryAfter = received.replaceAll("(?s).*retry-after: ([0-9.]+).*", "$1");
        assertTrue(Double.parseDouble(retryAfter) >= 1, received);
        assertSentTo(relay, "old0");
    }

    /** Failure: a run breaks off before its first event, and the stream of which the caller has events begins anew. */
    @Test
    void runThatBreaksOffBeforeItsFirstEventIsFollowedByOneOfItsVersion() {
        RelayFixture relay = relayOf("old0");
        relay.connectCaller().send(takeUp("x"));
        add(relay, "desk", "old1", Stage.WHOLE, "v1");
        relay.latestTargetConnection().reset();
        assertSentTo(relay, "old0", "old1");

        relay = relayOf("old0");
        RelayFixture.FakeCaller caller = relay.connectCaller().send(takeUp("x"));
        relay.latestTargetConnection()
                .respond(RelayFixture.streamResponseHead("b1") + RelayFixture.chunk(": comment\n\n"));
        relay.latestTargetConnection().reset();
        assertSentTo(relay, "old0");
        assertFalse(caller.takeReceived().endsWith("0\r\n\r\n"));
    }

    /** Failure: a run ends inside an event with the end of its answer, and another version goes on. */
    @Test
    void runThatEndsInsideAnEventIsFollowedByOneOfItsVersion() {
        String cut = RelayFixture.streamResponseHead("b1") + RelayFixture.chunk("id: 4\ndata: x\n\nid: 5\nda");
        RelayFixture relay = relayOf("old0");
        relay.connectCaller().send(takeUp("x"));
        add(relay, "desk", "old1", Stage.WHOLE, "v1");
        relay.latestTargetConnection().respond(cut + "0\r\n\r\n");
        assertTrue(relay.latestTargetConnection().takeReceived().contains("last-event-id: 4"));
        assertEquals("old1", relay.latestTargetConnection().targetId());

        relay = relayOf("old0");
        relay.connectCaller().send(takeUp("x"));
        relay.latestTargetConnection().respond(cut + "0\r\n\r\n");
        assertSentTo(relay, "old0");
    }

    /** Failure: a call that is suspected of crashes avoids the targets of other suspects, and goes to another version. */
    @Test
    void suspectedCallSharesATargetWithOtherSuspectsRatherThanChangeTheVersion() {
        RelayFixture relay = new RelayFixture().withRoutes();
        for (String body : List.of("x", "y")) {
            add(relay, "desk", "crashed-" + body, Stage.WHOLE, "v1");
            relay.connectCaller().send(RelayFixture.postRequest("/resume/a", "first-" + body, "", body));
            relay.latestTargetConnection().close();
            relay.removeTarget("crashed-" + body);
        }
        add(relay, "desk", "old0", Stage.WHOLE, "v1");
        relay.connectCaller().send(RelayFixture.postRequest("/resume/a", "again-y", "", "y"));
        assertEquals("old0", relay.latestTargetConnection().targetId());
        addTargets(relay);

        relay.connectCaller().send(takeUp("x"));

        assertSentTo(relay, "crashed-x", "crashed-y", "old0", "old0");
    }

    private static RelayFixture disaggregated() {
        RelayFixture relay = new RelayFixture().withRoutes();
        relay.streamOriginsDelegate = new BeganAtOldVersion();
        add(relay, "reader", "prefill", Stage.PREFILL, "v2");
        add(relay, "reader", "old0", Stage.DECODE, "v1");
        add(relay, "reader", "new0", Stage.DECODE, "v2");
        add(relay, "reader", "new1", Stage.DECODE, "v2");
        TargetLoad busy = new TargetLoad(9, PrefillQueue.ofPrompt(0, 400_000));
        relay.loads.replacePeerLoads("peer", Map.of("old0", busy));
        return relay;
    }

    private static String modelTakeUp() {
        return RelayFixture.postRequest(
                "/model/a",
                "b1",
                "Model: m\r\nToken-Count: 20000,80\r\nPrompt-Prefix: 5c:15000,91:5000\r\n" + AFTER_THIRD_EVENT,
                "prompt");
    }

    /** Failure: the prompt was read elsewhere, or was not, and whoever runs the call is chosen without its version. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nRequest-Id: b1\r\nServer-Stamp: s-b1\r\nContent-Length: 2\r\n\r\nh7",
                "HTTP/1.1 200 OK\r\nRequest-Id: b1\r\nServer-Stamp: s-b1\r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 503 Busy\r\n" + NOT_RUN
            })
    void callWhosePromptWentToAnotherEngineRunsAtItsVersion(String answer) {
        RelayFixture relay = disaggregated();
        relay.connectCaller().send(modelTakeUp());
        assertEquals("prefill", relay.latestTargetConnection().targetId());

        relay.latestTargetConnection().respond(answer);

        assertSentTo(relay, "prefill", "old0");
    }

    /** Failure: the engine that would read the prompt leaves, and whoever runs the call is chosen without its version. */
    @Test
    void callWhosePromptWasNotSentRunsAtItsVersion() {
        RelayFixture relay = disaggregated();
        relay.delayedTargetIds.add("prefill");
        relay.connectCaller().send(modelTakeUp());

        relay.markDraining("prefill").completeDelayedConnects();

        assertSentTo(relay, "old0");
    }

    /** Failure: the target that was to fetch the moved memory leaves, and the next one has another version. */
    @Test
    void movedMemoryIsFetchedByATargetOfItsVersionOnly() {
        RelayFixture relay = disaggregated();
        relay.delayedTargetIds.add("old0");
        relay.connectCaller().send(modelTakeUp());
        relay.latestTargetConnection().respond(RelayFixture.successResponse("b1", "h7"));
        add(relay, "reader", "old1", Stage.DECODE, "v1");
        relay.loads.replacePeerLoads("peer", Map.of("old1", new TargetLoad(9, PrefillQueue.ofPrompt(0, 400_000))));

        relay.markDraining("old0").completeDelayedConnects();

        assertEquals("old1", relay.latestTargetConnection().targetId());
        assertTrue(relay.latestTargetConnection().takeReceived().contains("kv-from: 10.0.0.2:80/h7"));
    }

    private static RelayFixture oneOfTwo(String name, VirtualTimeSource time) {
        RelayFixture instance = new RelayFixture(50, time, name, Set.of("a", "b")).withRoutes();
        addTargets(instance, "old0");
        return instance;
    }

    /** Failure: the instance that takes the call over runs it anywhere, or does not learn which stream is meant. */
    @Test
    void callThatIsPassedOnRunsAtItsVersion() {
        VirtualTimeSource time = new VirtualTimeSource(1_000_000);
        RelayFixture sound = oneOfTwo("b", time);
        RelayFixture cut = oneOfTwo("a", time);
        cut.service.startIsolationWatch();
        cut.neighbourLinks.add("b", sound);
        cut.unreachableTargetIds.addAll(Set.of("old0", "new0", "new1", "new2", "new3"));
        cut.connectCaller().send(RelayFixture.getRequest("/safe/x", "x1"));
        time.advanceMillis(200);
        assertTrue(cut.service.isIsolated());

        cut.connectCaller().send(takeUp("x"));
        cut.neighbourLinks.deliver();

        assertSentTo(sound, "old0");
    }

    /** Failure: a call that waits at a target which answers nothing is passed on, and runs there anywhere. */
    @Test
    void callThatIsPassedOnWhileItWaitsRunsAtItsVersion() {
        VirtualTimeSource time = new VirtualTimeSource(1_000_000);
        RelayFixture sound = oneOfTwo("b", time);
        RelayFixture cut = oneOfTwo("a", time);
        cut.service.startIsolationWatch();
        cut.neighbourLinks.add("b", sound);
        cut.connectCaller().send(takeUp("x"));
        cut.connectCaller().send(RelayFixture.postRequest("/stream/p", "o1", "", "q"));
        cut.silentTargetIds.addAll(Set.of("old0", "new0", "new1", "new2", "new3"));
        time.advanceMillis(2_000);
        assertTrue(cut.service.isIsolated());

        cut.neighbourLinks.deliver();

        assertSentTo(sound, "old0");
    }

    /** Knows that the stream a1 began at v1 of the service that is asked for, and no other stream. */
    private static final class BeganAtOldVersion implements StreamOrigins {
        @Override
        public void recordBegin(StreamId _stream, String _softwareVersion, OptionalLong _callerMillis) {}

        @Override
        public void find(StreamTakeUp takeUp, Consumer<StreamOrigin> onFound) {
            boolean isKnown = takeUp.owner().isEmpty() && takeUp.requestId().equals(Optional.of("a1"));
            onFound.accept(
                    isKnown
                            ? new StreamOrigin.Known(takeUp.services().get(0), "v1", StreamOrigin.Source.RECORDED, 0)
                            : new StreamOrigin.Unknown("no_record"));
        }
    }
}
