package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.dogwoodwinch.forwarding.PrefillQueue;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

/** Passes on calls for which an instance, with one connection to one target, has no connection left. */
class CallPassingTest {

    private static final Set<String> NAMES = Set.of("a", "b", "c");
    private static final String REJECTION = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final RelayFixture full = instance("a", 50);
    private final RelayFixture second = instance("b", 50);
    private final RelayFixture third = instance("c", 50);

    private RelayFixture instance(String name, double slackShare) {
        RelayFixture instance = new RelayFixture(slackShare, time, name, NAMES).withRoutes();
        instance.sharingInstancesCount = 96;
        return instance.withPlainTarget("t0");
    }

    /** Uses the only connection of an instance. */
    private static RelayFixture.FakeTargetConnection use(RelayFixture instance) {
        instance.connectCaller().send(RelayFixture.postRequest("/once/u", "used", "", "u"));
        instance.latestTargetConnection().takeReceived();
        return instance.latestTargetConnection();
    }

    private RelayFixture.FakeCaller send(String path, String id) {
        RelayFixture.FakeCaller caller = full.connectCaller().send(RelayFixture.postRequest(path, id, "", "question"));
        full.neighbourLinks.deliver();
        return caller;
    }

    private String received(RelayFixture.FakeCaller caller) {
        full.neighbourLinks.deliver();
        return caller.takeReceived();
    }

    private static void assertRefused(String response) {
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after: 0.200"), response);
        assertFalse(response.contains("x-dogwoodwinch"), response);
    }

    /** Guards against calls that go a detour though this instance has a connection for them. */
    @Test
    void callWithConnectionIsNotPassedOn() {
        full.neighbourLinks.add("b", second);
        send("/once/p", "p1");

        assertEquals(1, full.targetConnections.size());
        assertEquals(0, full.neighbourLinks.openLinksCount());
    }

    /** Guards against a call that is lost, or sent twice, when the instance that took it over dies. */
    @Test
    void callLostWithItsNeighbourMayHaveRun() {
        full.neighbourLinks.add("b", second);
        full.neighbourLinks.add("c", third);
        use(full);
        RelayFixture.FakeCaller caller = send("/once/p", "p1");

        full.neighbourLinks.breakLatest();

        String response = received(caller);
        assertTrue(response.startsWith("HTTP/1.1 502 "), response);
        assertEquals(1, second.targetConnections.size() + third.targetConnections.size());
    }

    /** Guards against a caller that gets an error for a call that may run again within the retry budget. */
    @Test
    void repeatableCallLostWithItsNeighbourIsTakenOverByTheNext() {
        full.neighbourLinks.add("b", second);
        full.neighbourLinks.add("c", third);
        use(full);
        double remaining = full.budget.remaining("desk", time.monotonicMillis());
        RelayFixture.FakeCaller caller = send("/safe/p", "p1");
        boolean isAtSecond = !second.targetConnections.isEmpty();
        RelayFixture next = isAtSecond ? third : second;
        next.budget.setRatio(1);

        full.neighbourLinks.breakLatest();
        full.neighbourLinks.deliver();

        String request = next.latestTargetConnection().takeReceived();
        assertTrue(request.endsWith("question") && !request.contains("x-dogwoodwinch"), request);
        next.latestTargetConnection().respond(RelayFixture.successResponse("p1", "done"));
        assertTrue(received(caller).endsWith("done"));
        assertEquals(remaining - 1, full.budget.remaining("desk", time.monotonicMillis()));
        // The instance that was lost has counted the call as a request.
        assertEquals(50, next.budget.remaining("desk", time.monotonicMillis()));
    }

    /** Guards against repeats beyond the retry budget when instances die. */
    @Test
    void repeatableCallLostWithItsNeighbourIsNotRepeatedWithoutARetry() {
        RelayFixture poor = instance("a", 0);
        poor.neighbourLinks.add("b", second);
        poor.neighbourLinks.add("c", third);
        use(poor);
        RelayFixture.FakeCaller caller =
                poor.connectCaller().send(RelayFixture.postRequest("/safe/p", "p1", "", "question"));
        poor.neighbourLinks.deliver();

        poor.neighbourLinks.breakLatest();
        poor.neighbourLinks.deliver();

        assertTrue(caller.takeReceived().startsWith("HTTP/1.1 502 "));
        assertEquals(1, second.targetConnections.size() + third.targetConnections.size());
    }

    /** Guards against callers that wait until their deadline for an instance behind a slow link. */
    @Test
    void nextNeighbourIsTriedAfterTheConnectTimeout() {
        full.neighbourLinks.add("b", second);
        full.neighbourLinks.silentNames.add("b");
        use(full);
        RelayFixture.FakeCaller caller = send("/once/p", "p1");
        full.neighbourLinks.add("c", third);
        assertTrue(third.targetConnections.isEmpty());

        time.advanceMillis(300);
        full.neighbourLinks.deliver();

        third.latestTargetConnection().respond(RelayFixture.successResponse("p1", "done"));
        assertTrue(received(caller).endsWith("done"));
        assertTrue(second.targetConnections.isEmpty());
    }

    /** Guards against a call that two instances without connections pass to each other until its deadline. */
    @Test
    void instancesWithoutConnectionsDoNotPassCallsBackAndForth() {
        full.neighbourLinks.add("b", second);
        second.neighbourLinks.add("a", full);
        use(full);
        use(second);
        RelayFixture.FakeCaller first = send("/once/p", "p1");
        RelayFixture.FakeCaller other =
                second.connectCaller().send(RelayFixture.postRequest("/once/p", "p2", "", "question"));
        second.neighbourLinks.deliver();

        assertRefused(received(first));
        assertRefused(other.takeReceived());
        assertEquals(1, full.neighbourLinks.openLinksCount());
        assertEquals(1, second.neighbourLinks.openLinksCount());
        assertEquals(1, full.service.openCallsCount());
        assertEquals(1, second.service.openCallsCount());
    }

    /** Guards against callers that wait, or are told nothing of a later time, when no instance has a connection. */
    @Test
    void callIsRefusedAtOnceWhenNoNeighbourHasAConnection() {
        full.neighbourLinks.add("b", second);
        full.neighbourLinks.add("c", third);
        List.of(full, second, third).forEach(CallPassingTest::use);

        assertRefused(received(send("/once/p", "p1")));
        assertEquals(2, full.neighbourLinks.openLinksCount());
        assertTrue(List.of(full, second, third).stream()
                .allMatch(each -> each.targetConnections.size() == 1
                        && each.latestTargetConnection().takeReceived().isEmpty()));
    }

    /** Guards against calls that are refused though the second instance that is asked has a connection. */
    @Test
    void nextNeighbourTakesOverWhatOneWithoutConnectionsDoesNot() {
        full.neighbourLinks.add("b", second);
        full.neighbourLinks.add("c", third);
        use(full);
        use(second);
        for (int i = 0; i < 5; i++) {
            RelayFixture.FakeCaller caller = send("/once/p", "p" + i);
            third.latestTargetConnection().respond(RelayFixture.successResponse("p" + i, "done"));
            assertTrue(received(caller).endsWith("done"));
        }
    }

    /** Guards against a call that its target has rejected and that another instance sends as a first one. */
    @Test
    void callThatWasRejectedIsNotPassedOn() {
        full.withPlainTarget("t1");
        full.neighbourLinks.add("b", second);
        full.loads.replacePeerLoads("peer", Map.of("t1", new TargetLoad(3, PrefillQueue.EMPTY)));
        use(full);
        RelayFixture.FakeCaller caller = send("/once/p", "p1");
        RelayFixture.FakeTargetConnection target = full.latestTargetConnection();
        assertEquals("t1", target.targetId());

        target.respond(REJECTION);

        assertRefused(received(caller));
        assertTrue(second.targetConnections.isEmpty());
    }

    /** Guards against a call whose prompt was prefilled here, and that another instance prefills again. */
    @Test
    void callThatWasPrefilledIsNotPassedOn() {
        RelayFixture engines = new RelayFixture(50, time, "a", NAMES).withRoutes();
        engines.sharingInstancesCount = 360;
        engines.withEngine("p1", Stage.PREFILL).withEngine("d1", Stage.DECODE);
        engines.loads.replacePeerLoads("peer", Map.of("d1", new TargetLoad(9, PrefillQueue.ofPrompt(0, 400_000))));
        second.withEngine("p1", Stage.PREFILL).withEngine("d1", Stage.DECODE);
        engines.neighbourLinks.add("b", second);
        engines.connectCaller().send(modelRequest("m1"));
        engines.latestTargetConnection().respond(RelayFixture.successResponse("m1", "h1"));
        assertEquals("d1", engines.latestTargetConnection().targetId());
        RelayFixture.FakeCaller caller = engines.connectCaller().send(modelRequest("m2"));
        engines.targetConnections.get(0).respond(RelayFixture.successResponse("m2", ""));
        engines.neighbourLinks.deliver();

        assertRefused(caller.takeReceived());
        assertTrue(second.targetConnections.isEmpty());
    }

    private static String modelRequest(String id) {
        return RelayFixture.postRequest(
                "/model/a",
                id,
                "Model: m\r\nToken-Count: 20000,80\r\nPrompt-Prefix: 5c:15000," + id + ":5000\r\n",
                "prompt");
    }
}
