package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.PrefillQueue;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.junit.jupiter.api.Test;

class RemotePrefillTest {

    /** One engine prefills the prompt, another decodes with that KV cache; the caller sees one stream. */
    @Test
    void kvCacheOfSeparatePrefillIsUsedOnceForDecode() {
        RelayFixture relay = disaggregatedRelay();
        RelayFixture.FakeCaller caller = relay.connectCaller().send(modelRequest("a1"));
        RelayFixture.FakeTargetConnection prefillConnection = relay.latestTargetConnection();
        assertEquals("p1", prefillConnection.targetId());
        assertTrue(prefillConnection.takeReceived().contains("stage: prefill"));

        prefillConnection.respond(RelayFixture.successResponse("a1", "h7"));
        RelayFixture.FakeTargetConnection decodeConnection = relay.latestTargetConnection();
        assertEquals("d1", decodeConnection.targetId());
        String forwarded = decodeConnection.takeReceived();
        assertTrue(forwarded.contains("kv-from: 10.0.0.2:80/h7") && !forwarded.contains("stage:"), forwarded);
        decodeConnection.respond(
                RelayFixture.streamResponseHead("a1") + RelayFixture.chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n");

        assertTrue(caller.takeReceived().endsWith("0\r\n\r\n"));
        assertEquals(List.of(), relay.releasedCaches);
    }

    /** Failure: no decode engine takes the KV cache, and it stays allocated on the prefill engine. */
    @Test
    void unusedKvCacheIsReleased() {
        RelayFixture relay = disaggregatedRelay();
        relay.unreachableTargetIds.add("d1");
        relay.connectCaller().send(modelRequest("a1"));

        relay.latestTargetConnection().respond(RelayFixture.successResponse("a1", "h7"));

        assertEquals(List.of("p1/h7"), relay.releasedCaches);
    }

    /** The prefill engine resets the connection. The call has not run, so a decode engine prefills it itself. */
    @Test
    void callRunsOnDecodeEngineAfterPrefillFails() {
        RelayFixture relay = disaggregatedRelay();
        RelayFixture.FakeCaller caller = relay.connectCaller().send(modelRequest("a1"));

        relay.latestTargetConnection().reset();
        RelayFixture.FakeTargetConnection decodeConnection = relay.latestTargetConnection();
        assertEquals("d1", decodeConnection.targetId());
        assertFalse(decodeConnection.takeReceived().contains("kv-from"));
        decodeConnection.respond(
                RelayFixture.streamResponseHead("a1") + RelayFixture.chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n");

        assertTrue(caller.takeReceived().startsWith("HTTP/1.1 200 "));
    }

    /** The caller disconnects during the prefill: the engine's connection is closed and nothing is decoded. */
    @Test
    void callerDisconnectCancelsPrefill() {
        RelayFixture relay = disaggregatedRelay();
        RelayFixture.FakeCaller caller = relay.connectCaller().send(modelRequest("a1"));

        caller.disconnect();

        assertFalse(relay.latestTargetConnection().isOpen());
        assertEquals(1, relay.targetConnections.size());
        assertEquals(0, relay.loads.totalAt("p1").prefillQueue().totalTokens());
    }

    /** Failure: on a loaded instance the connect completes late, with the caller's disconnect unread beside it. */
    @Test
    void prefillIsNotSentAfterCallerDisconnects() {
        RelayFixture relay = disaggregatedRelay();
        relay.delayedTargetIds.add("p1");
        RelayFixture.FakeCaller caller = relay.connectCaller().send(modelRequest("a1"));
        relay.time.advanceMillis(150);
        relay.completeDelayedConnects();

        caller.disconnect();
        relay.time.advanceMillis(10);

        assertEquals("", relay.targetConnections.get(0).takeReceived());
    }

    /**
     * The preferred engine never got the call, so another prefill engine takes it: a prefill on the decode engine would
     * delay all calls that run there.
     */
    @Test
    void unreachablePrefillEngineIsReplacedByAnother() {
        RelayFixture relay = disaggregatedRelay().withEngine("p2", Stage.PREFILL);
        relay.connectCaller().send(modelRequest("a1"));
        String preferredId = relay.latestTargetConnection().targetId();
        String otherId = preferredId.equals("p1") ? "p2" : "p1";
        relay.unreachableTargetIds.add(preferredId);

        relay.connectCaller().send(modelRequest("a2").replace("91:", "92:"));

        assertEquals(2, relay.targetConnections.size());
        assertEquals(otherId, relay.latestTargetConnection().targetId());
        assertTrue(relay.latestTargetConnection().takeReceived().contains("stage: prefill"));
    }

    /**
     * The preferred engine crashed and another target has its address. After the first 421 the engine is skipped for a
     * while, so the next call goes to another one at once.
     */
    @Test
    void misdirectedPrefillEngineIsSkippedTemporarily() {
        RelayFixture relay = disaggregatedRelay().withEngine("p2", Stage.PREFILL);
        relay.connectCaller().send(modelRequest("a1"));
        String preferredId = relay.latestTargetConnection().targetId();
        relay.latestTargetConnection()
                .respond("HTTP/1.1 421 Misdirected\r\nRequest-Id: a1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");

        relay.connectCaller().send(modelRequest("a2"));

        assertFalse(relay.latestTargetConnection().targetId().equals(preferredId));
        assertTrue(relay.latestTargetConnection().takeReceived().contains("stage: prefill"));
    }

    /** Another engine caches the shared segment: the prefill engine gets its address and the priority of the call. */
    @Test
    void prefillRequestNamesEngineThatCachesSharedSegment() {
        RelayFixture relay = relayWithCachedSegment();

        relay.connectCaller().send(modelRequest("a1"));

        String forwarded = relay.latestTargetConnection().takeReceived();
        assertEquals("p1", relay.latestTargetConnection().targetId());
        assertTrue(forwarded.contains("kv-fetch: 10.0.0.9:88\r\n"), forwarded);
        assertTrue(forwarded.contains("request-priority: 2\r\n"), forwarded);
    }

    /** The transferred KV cache covers the whole prompt, so no segment is fetched in addition. */
    @Test
    void decodeRequestWithKvCacheFetchesNothingElse() {
        RelayFixture relay = relayWithCachedSegment();
        relay.connectCaller().send(modelRequest("a1"));

        relay.latestTargetConnection().respond(RelayFixture.successResponse("a1", "h7"));

        String forwarded = relay.latestTargetConnection().takeReceived();
        assertTrue(forwarded.contains("kv-from: 10.0.0.2:80/h7\r\n"), forwarded);
        assertFalse(forwarded.contains("kv-fetch"), forwarded);
    }

    static RelayFixture disaggregatedRelay() {
        RelayFixture relay = new RelayFixture().withRoutes();
        relay.withEngine("p1", Stage.PREFILL).withEngine("d1", Stage.DECODE);
        // Queued prompts on the decode engine make a separate prefill faster.
        relay.loads.replacePeerLoads("peer", Map.of("d1", new TargetLoad(9, PrefillQueue.ofPrompt(0, 400_000))));
        return relay;
    }

    /** Returns a relay that also has a busy engine that caches the shared segment. */
    private static RelayFixture relayWithCachedSegment() {
        RelayFixture relay = disaggregatedRelay();
        relay.withTarget(new Incarnation("d2", "reader", "10.0.0.9", 88, "dc-1", 64, false, Stage.DECODE, 1));
        relay.cacheIndex.setCachedTokens("d2", "5c", 15_000);
        relay.loads.replacePeerLoads("other", Map.of("d2", new TargetLoad(9, PrefillQueue.ofPrompt(0, 400_000))));
        return relay;
    }

    static String modelRequest(String id) {
        return RelayFixture.postRequest(
                "/model/a", id, "Model: m\r\nToken-Count: 20000,80\r\nPrompt-Prefix: 5c:15000,91:5000\r\n", "prompt");
    }
}
