package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.dogwoodwinch.forwarding.PrefillQueue;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.junit.jupiter.api.Test;

/** The accepted gap of the route is 300 ms, and an engine that decodes prefills 15 tokens per ms. */
class StalledStreamsTest {

    private final RelayFixture relay = new RelayFixture().withRoutes().withEngine("d1", Stage.DECODE);

    private void relayStream(int besidePrefillTokens, long gapMillis) {
        relay.loads.replacePeerLoads(
                "peer", Map.of("d1", new TargetLoad(1, PrefillQueue.ofPrompt(0, besidePrefillTokens))));
        relay.connectCaller()
                .send(RelayFixture.postRequest("/model/a", "a1", "Model: m\r\nToken-Count: 100,80\r\n", "prompt"));
        RelayFixture.FakeTargetConnection engine = relay.latestTargetConnection();
        engine.respond(RelayFixture.streamResponseHead("a1") + RelayFixture.chunk("id: 1\ndata: x\n\n"));
        relay.time.advanceMillis(gapMillis);
        engine.respond(RelayFixture.chunk("id: 2\ndata: x\n\n") + "0\r\n\r\n");
    }

    /** Failure: a price of stalls that nobody lowers keeps prompts waiting where streams never stall. */
    @Test
    void streamOnTimeBesideLongPrefillLowersTheCost() {
        relayStream(6_000, 200);

        assertEquals(0.9, relay.stallCost.stalledRatio("reader"), 1e-9);
    }

    @Test
    void lateStreamBesideLongPrefillRaisesTheCost() {
        relayStream(6_000, 200);
        relayStream(6_000, 301);

        assertEquals(0.91, relay.stallCost.stalledRatio("reader"), 1e-9);
    }

    /** Streams that no prefill delays say nothing about prefills. */
    @Test
    void streamWithoutLongPrefillChangesNothing() {
        relayStream(0, 200);
        relayStream(1_000, 400);

        assertEquals(1, relay.stallCost.stalledRatio("reader"));
        assertTrue(relay.stallCost.millisPerStream("reader", 1_000) > 0);
    }
}
