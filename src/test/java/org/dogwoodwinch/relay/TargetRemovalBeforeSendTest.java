package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.dogwoodwinch.forwarding.PrefillQueue;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.junit.jupiter.api.Test;

/** Changes the target list between the choice of a target and the first byte sent to it, with no retry in any quota. */
class TargetRemovalBeforeSendTest {

    private static final double NO_RETRIES = 0;

    @Test
    void targetDrainingDuringConnectGetsNoCall() {
        RelayFixture relay = relayWithDelayedConnect();
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));

        relay.markDraining("t1").withPlainTarget("t2").completeDelayedConnects();

        assertSentToSecondTarget(relay, caller);
    }

    @Test
    void targetRemovedDuringConnectGetsNoCall() {
        RelayFixture relay = relayWithDelayedConnect();
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));

        relay.removeTarget("t1").withPlainTarget("t2").completeDelayedConnects();

        assertSentToSecondTarget(relay, caller);
    }

    @Test
    void targetRestartedDuringConnectGetsCallOnNewConnectionOnly() {
        RelayFixture relay = relayWithDelayedConnect();
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));

        relay.restartTarget("t1").completeDelayedConnects();

        RelayFixture.FakeTargetConnection earlierConnection = relay.targetConnections.get(0);
        assertEquals("", earlierConnection.takeReceived());
        assertEquals(2, relay.targetConnections.size());
        relay.latestTargetConnection().respond(RelayFixture.successResponse("a1", "own"));
        assertTrue(caller.takeReceived().endsWith("own"));
    }

    /** A call of 100 ms or older is deferred once more after its connection opens, until all sockets were read. */
    @Test
    void targetDrainingWhileCallIsDeferredGetsNoCall() {
        RelayFixture relay = relayWithDelayedConnect();
        RelayFixture.FakeCaller caller = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        relay.time.advanceMillis(150);
        relay.completeDelayedConnects();

        relay.markDraining("t1").withPlainTarget("t2");
        relay.time.advanceMillis(1);

        assertSentToSecondTarget(relay, caller);
    }

    @Test
    void prefillEngineDrainingDuringConnectGetsNoPrompt() {
        RelayFixture firstRelay = disaggregatedRelay();
        firstRelay.delayedTargetIds.addAll(Set.of("p1", "p2"));
        firstRelay.connectCaller().send(modelRequest("a1"));
        firstRelay.completeDelayedConnects();
        String preferredId = firstRelay.latestTargetConnection().targetId();

        RelayFixture secondRelay = disaggregatedRelay();
        secondRelay.delayedTargetIds.addAll(Set.of("p1", "p2"));
        secondRelay.connectCaller().send(modelRequest("a1"));
        secondRelay.markDraining(preferredId).completeDelayedConnects();

        assertEquals(preferredId, secondRelay.targetConnections.get(0).targetId());
        assertEquals("", secondRelay.targetConnections.get(0).takeReceived());
        assertEquals(2, secondRelay.targetConnections.size());
        assertNotEquals(preferredId, secondRelay.latestTargetConnection().targetId());
        assertTrue(secondRelay.latestTargetConnection().takeReceived().contains("stage: prefill"));
    }

    /** The KV cache is kept for the engine that decodes the call instead. */
    @Test
    void decodeEngineDrainingDuringConnectAfterPrefillGetsNoCall() {
        RelayFixture relay = disaggregatedRelay();
        relay.delayedTargetIds.addAll(Set.of("d1", "d2"));
        RelayFixture.FakeCaller caller = relay.connectCaller().send(modelRequest("a1"));
        relay.latestTargetConnection().respond(RelayFixture.successResponse("a1", "h7"));
        assertEquals(1, relay.targetConnections.size());

        relay.markDraining("d1")
                .markDraining("d2")
                .withEngine("d3", Stage.DECODE)
                .completeDelayedConnects();

        assertEquals("", relay.targetConnections.get(1).takeReceived());
        assertEquals("d3", relay.latestTargetConnection().targetId());
        String forwarded = relay.latestTargetConnection().takeReceived();
        assertTrue(forwarded.contains("kv-from: 10.0.0.2:80/h7"), forwarded);
        relay.latestTargetConnection()
                .respond(
                        RelayFixture.streamResponseHead("a1") + RelayFixture.chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n");
        assertTrue(caller.takeReceived().endsWith("0\r\n\r\n"));
    }

    private static void assertSentToSecondTarget(RelayFixture relay, RelayFixture.FakeCaller caller) {
        RelayFixture.FakeTargetConnection removed = relay.targetConnections.get(0);
        assertEquals("t1", removed.targetId());
        assertEquals("", removed.takeReceived());
        assertFalse(removed.isOpen());
        assertEquals("t2", relay.latestTargetConnection().targetId());
        relay.latestTargetConnection().respond(RelayFixture.successResponse("a1", "own"));
        assertTrue(caller.takeReceived().endsWith("own"));
    }

    private static RelayFixture relayWithDelayedConnect() {
        RelayFixture relay = new RelayFixture(NO_RETRIES).withRoutes().withPlainTarget("t1");
        relay.delayedTargetIds.add("t1");
        return relay;
    }

    private static RelayFixture disaggregatedRelay() {
        RelayFixture relay = new RelayFixture(NO_RETRIES).withRoutes();
        relay.withEngine("p1", Stage.PREFILL)
                .withEngine("p2", Stage.PREFILL)
                .withEngine("d1", Stage.DECODE)
                .withEngine("d2", Stage.DECODE);
        TargetLoad busy = new TargetLoad(9, PrefillQueue.ofPrompt(0, 400_000));
        relay.loads.replacePeerLoads("peer", Map.of("d1", busy, "d2", busy));
        return relay;
    }

    private static String modelRequest(String id) {
        return RelayFixture.postRequest(
                "/model/a", id, "Model: m\r\nToken-Count: 20000,80\r\nPrompt-Prefix: 5c:15000,91:5000\r\n", "prompt");
    }
}
