package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.dogwoodwinch.forwarding.ApiKey;
import org.dogwoodwinch.forwarding.CallOwner;
import org.dogwoodwinch.forwarding.OwnerKeys;
import org.dogwoodwinch.forwarding.PrefillQueue;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.junit.jupiter.api.Test;

/** Calls of owners while a target with six slots has none left. */
class CallQueueTest {

    private static final int SLOTS_COUNT = 6;
    private static final long TICK_MILLIS = 25;
    private static final String KEY = "y5rcpihhacruddedev3n";
    private static final String URGENT_KEY = "ax7u27gxprymh2rrytap";

    private final RelayFixture relay = new RelayFixture();

    CallQueueTest() {
        relay.ownerKeys = Optional.of(new OwnerKeys(Map.of(
                new ApiKey(KEY), new CallOwner("hall-1", OptionalInt.empty()),
                new ApiKey(URGENT_KEY), new CallOwner("hall-2", OptionalInt.of(0)))));
        relay.withRoutes().withPlainTarget("t1");
    }

    @Test
    void callWaitsForSlotAndIsSentWhenOneIsFree() {
        fillSlots();
        RelayFixture.FakeCaller waiting = send("w1", KEY);
        assertEquals(SLOTS_COUNT, relay.targetConnections.size());

        relay.targetConnections.get(0).takeReceived();
        relay.targetConnections.get(0).respond(RelayFixture.successResponse("a0", "first"));
        relay.time.advanceMillis(1);
        String sent = relay.targetConnections.get(0).takeReceived();
        relay.targetConnections.get(0).respond(RelayFixture.successResponse("w1", "waited"));

        assertTrue(sent.contains("w1"), sent);
        assertTrue(waiting.takeReceived().endsWith("waited"));
    }

    /** Guards against calls that wait where the configuration has no owners. */
    @Test
    void nothingWaitsWithoutOwners() {
        relay.ownerKeys = Optional.empty();
        relay.withRoutes();
        fillSlots();
        send("w1", KEY);

        assertEquals(SLOTS_COUNT + 1, relay.targetConnections.size());
    }

    /** Guards against calls that all see the same free slots while their connections are being opened. */
    @Test
    void callsOnTheirWayToTargetTakeItsSlots() {
        relay.delayedTargetIds.add("t1");
        for (int i = 0; i < 2 * SLOTS_COUNT; i++) {
            send("a" + i, KEY);
        }
        relay.completeDelayedConnects();
        relay.time.advanceMillis(TICK_MILLIS);

        assertEquals(SLOTS_COUNT, relay.targetConnections.size());
    }

    /** Guards against calls that are sent although nobody waits for their answers. */
    @Test
    void callWhoseCallerLeavesWhileItWaitsIsNotSent() {
        fillSlots();
        RelayFixture.FakeCaller waiting = send("w1", KEY);
        waiting.disconnect();
        endFirst();

        assertEquals("", relay.targetConnections.get(0).takeReceived());
        assertEquals(SLOTS_COUNT - 1, relay.service.openCallsCount());
        assertEquals(0, waitingCount());
    }

    /** Guards against calls that wait for a target that is gone. */
    @Test
    void waitingCallIsSentElsewhereOrRefusedWhenTargetIsLost() {
        fillSlots();
        RelayFixture.FakeCaller sentElsewhere = send("w1", KEY);
        relay.withPlainTarget("t2").removeTarget("t1");
        relay.time.advanceMillis(TICK_MILLIS);
        assertEquals("t2", relay.latestTargetConnection().targetId());
        relay.latestTargetConnection().respond(RelayFixture.successResponse("w1", "elsewhere"));
        assertTrue(sentElsewhere.takeReceived().endsWith("elsewhere"));

        relay.loads.replacePeerLoads("peer", Map.of("t2", new TargetLoad(SLOTS_COUNT, PrefillQueue.EMPTY)));
        RelayFixture.FakeCaller refused = send("w2", KEY);
        assertEquals("", refused.takeReceived());
        relay.removeTarget("t2");
        relay.time.advanceMillis(TICK_MILLIS);

        assertTrue(refused.takeReceived().startsWith("HTTP/1.1 503 "));
    }

    /** Guards against calls that an instance loses when it ends with a full queue. */
    @Test
    void waitingCallsAreRefusedBeforeInstanceEnds() {
        fillSlots();
        List<RelayFixture.FakeCaller> waiting = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            waiting.add(send("w" + i, KEY));
        }
        relay.service.startDraining();
        relay.service.refuseUnfinishableCalls(1_500);

        waiting.forEach(caller -> {
            String received = caller.takeReceived();
            assertTrue(received.startsWith("HTTP/1.1 503 "), received);
            assertTrue(received.toLowerCase(Locale.ROOT).contains("retry-after: "), received);
        });
        assertEquals(SLOTS_COUNT, relay.service.openCallsCount());
        assertEquals(SLOTS_COUNT, relay.targetConnections.size());
    }

    /** Guards against waiting calls that are cut off by the end of the instance, or refused though they would end in time. */
    @Test
    void waitingCallIsRefusedOnceItIsExpectedToOutlastTheInstance() {
        send("o1", KEY);
        relay.time.advanceMillis(300);
        relay.latestTargetConnection().respond(RelayFixture.successResponse("o1", "observed"));
        fillSlots();
        RelayFixture.FakeCaller waiting = send("w1", KEY);

        relay.service.refuseUnfinishableCalls(301);
        assertEquals("", waiting.takeReceived());
        relay.service.refuseUnfinishableCalls(300);
        assertTrue(waiting.takeReceived().startsWith("HTTP/1.1 503 "));
    }

    /** Guards against calls that are held after their callers have left. */
    @Test
    void waitingCallIsAnsweredByItsDeadlineAndNeverSent() {
        fillSlots();
        RelayFixture.FakeCaller waiting = send("w1", KEY);
        relay.time.advanceMillis(RelayFixture.CALL_TIMEOUT_MILLIS);

        assertTrue(waiting.takeReceived().startsWith("HTTP/1.1 503 "));
        assertEquals(0, waitingCount());
        relay.targetConnections.forEach(
                connection -> assertTrue(!connection.takeReceived().contains("w1")));
    }

    @Test
    void moreUrgentOwnerIsServedFirst() {
        fillSlots();
        send("w1", KEY);
        send("w2", URGENT_KEY);
        endFirst();

        assertTrue(relay.targetConnections.get(0).takeReceived().contains("w2"));
    }

    /** Guards against calls that wait on because nothing ends at this instance. */
    @Test
    void waitingCallIsSentWhenOtherInstancesReportFreeSlots() {
        relay.loads.replacePeerLoads("peer", Map.of("t1", new TargetLoad(SLOTS_COUNT, PrefillQueue.EMPTY)));
        send("w1", KEY);
        assertEquals(0, relay.targetConnections.size());

        relay.loads.replacePeerLoads("peer", Map.of());
        relay.time.advanceMillis(TICK_MILLIS);

        assertEquals(1, relay.targetConnections.size());
    }

    /** Guards against prompts that wait at an engine, where neither owners nor deadlines count. */
    @Test
    void callToModelWaitsWhilePrefillQueueIsFull() {
        relay.withEngine("e1", Stage.WHOLE);
        relay.loads.replacePeerLoads("peer", Map.of("e1", new TargetLoad(1, PrefillQueue.ofPrompt(0, 50_000))));
        relay.connectCaller()
                .send(RelayFixture.postRequest(
                        "/model/a",
                        "m1",
                        "X-Api-Key: " + KEY + "\r\nModel: m\r\nToken-Count: 900,5\r\nPrompt-Prefix: 5c:500,91:400\r\n",
                        "hello"));
        assertEquals(0, relay.targetConnections.size());

        relay.loads.replacePeerLoads("peer", Map.of());
        relay.time.advanceMillis(TICK_MILLIS);

        assertEquals("e1", relay.latestTargetConnection().targetId());
    }

    private void fillSlots() {
        for (int i = 0; i < SLOTS_COUNT; i++) {
            send("a" + i, KEY);
        }
        assertEquals(SLOTS_COUNT, relay.targetConnections.size());
    }

    private void endFirst() {
        relay.targetConnections.get(0).takeReceived();
        relay.targetConnections.get(0).respond(RelayFixture.successResponse("a0", "first"));
        relay.time.advanceMillis(1);
    }

    private RelayFixture.FakeCaller send(String id, String key) {
        return relay.connectCaller()
                .send(RelayFixture.postRequest("/once/a", id, "X-Api-Key: " + key + "\r\n", "hello"));
    }

    private int waitingCount() {
        return relay.service.waitingCallsCount();
    }
}
