package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.PrefillQueue;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

/** A target turns an instance away and asks for a rest, while callers press on. */
class RestingTargetTest {

    private static final long REST_MILLIS = 3_000;

    /** The time that calls which are under way when the rest begins may take to arrive. */
    private static final long UNDER_WAY_MILLIS = 500;

    private static final int MAX_CALLS_IN_REST = 2;
    private static final double NO_RETRIES = 0;
    private static final Pattern REQUEST_ID = Pattern.compile("request-id: (\\S+)", Pattern.CASE_INSENSITIVE);

    @Test
    void targetGetsNoCallInRestAndCallsAgainAfterIt() {
        RelayFixture relay =
                new RelayFixture().withRoutes().withPlainTarget("t1").withPlainTarget("t2");
        relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        String restingId = relay.latestTargetConnection().targetId();
        relay.latestTargetConnection().respond(shed("a1", "3"));

        List<Long> arrivals = arrivalsAt(restingId, relay, 2 * REST_MILLIS);

        assertFalse(arrivals.isEmpty(), "the target is used again after its rest");
        arrivals.forEach(millis -> assertTrue(millis >= REST_MILLIS, millis + " ms after the answer"));
        assertTrue(arrivals.get(0) <= REST_MILLIS + 800, "used again late: " + arrivals.get(0));
    }

    @Test
    void laterAnswerDoesNotShortenRestAndFractionsCount() {
        RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("t1");
        relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a2"));
        relay.withPlainTarget("t2").targetConnections.get(0).respond(shed("a1", "2.75"));
        relay.targetConnections.get(1).respond(shed("a2", "0.1"));

        List<Long> arrivals = arrivalsAt("t1", relay, 2 * REST_MILLIS);

        assertTrue(arrivals.get(0) >= 2_750, arrivals.get(0) + " ms after the answer");
    }

    @Test
    void absurdAndUnreadableValuesAreBounded() {
        for (String value : List.of("999999999999999999999", "1e9", "soon", "-3", "0")) {
            RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("t1");
            relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
            relay.latestTargetConnection().respond(shed("a1", value));

            relay.time.advanceMillis(301_000);
            relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a2"));

            assertTrue(relay.latestTargetConnection().takeReceived().contains("a2"), value);
        }
    }

    @Test
    void callThatWaitsForConnectionIsNotWrittenInRest() {
        RelayFixture relay = new RelayFixture(NO_RETRIES).withRoutes().withPlainTarget("t1");
        relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        RelayFixture.FakeTargetConnection first = relay.latestTargetConnection();
        relay.delayedTargetIds.add("t1");
        RelayFixture.FakeCaller waiting = relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a2"));

        first.respond(shed("a1", "3"));
        relay.withPlainTarget("t2").completeDelayedConnects();

        assertEquals("", relay.targetConnections.get(1).takeReceived());
        relay.latestTargetConnection().respond(RelayFixture.successResponse("a2", "own"));
        assertTrue(waiting.takeReceived().endsWith("own"));
    }

    @Test
    void callersHearWhenFirstOfRestingTargetsIsBack() {
        RelayFixture relay = new RelayFixture(NO_RETRIES)
                .withRoutes()
                .withTarget(engine("t1"))
                .withTarget(engine("t2"));
        relay.connectCaller().send(streamRequest("a1"));
        relay.latestTargetConnection().respond(shed("a1", "1.2"));
        relay.time.advanceMillis(1);
        RelayFixture.FakeCaller last = relay.connectCaller().send(streamRequest("a2"));
        relay.latestTargetConnection().respond(shed("a2", "30"));

        double afterRejection = retryAfterSeconds(last.takeReceived());
        double atOnce = retryAfterSeconds(
                relay.connectCaller().send(streamRequest("a3")).takeReceived());

        assertTrue(afterRejection >= 1.1 && afterRejection <= 1.45, "after a rejection: " + afterRejection);
        assertTrue(atOnce >= 1.1 && atOnce <= 1.45, "without a send: " + atOnce);
        assertEquals(2, relay.targetConnections.size());
    }

    @Test
    void restOfPrefillEngineMovesPromptsElsewhere() {
        RelayFixture relay =
                new RelayFixture().withRoutes().withEngine("p1", Stage.PREFILL).withEngine("d1", Stage.DECODE);
        relay.loads.replacePeerLoads("peer", Map.of("d1", new TargetLoad(9, PrefillQueue.ofPrompt(0, 400_000))));
        relay.connectCaller().send(modelRequest("a1"));
        assertEquals("p1", relay.latestTargetConnection().targetId());
        relay.latestTargetConnection().takeReceived();
        relay.latestTargetConnection().respond(shed("a1", "3"));

        relay.connectCaller().send(modelRequest("a2"));

        assertEquals("d1", relay.latestTargetConnection().targetId());
        assertFalse(relay.targetConnections.get(0).takeReceived().contains("a2"));
    }

    @Test
    void nextStartUnderSameIdRestsFromNothing() {
        RelayFixture relay = new RelayFixture().withRoutes().withPlainTarget("t1");
        relay.connectCaller().send(RelayFixture.getRequest("/once/a", "a1"));
        relay.latestTargetConnection().respond(shed("a1", "3"));

        relay.restartTarget("t1").connectCaller().send(RelayFixture.getRequest("/once/a", "a2"));

        assertTrue(relay.latestTargetConnection().takeReceived().contains("a2"));
    }

    /** Load: 90 instances are turned away within a moment, and each has callers that wait for the target. */
    @Test
    void instancesDoNotReturnTogetherAfterRest() {
        VirtualTimeSource time = new VirtualTimeSource(1_000_000);
        List<RelayFixture> instances = new ArrayList<>();
        for (int i = 0; i < 90; i++) {
            RelayFixture relay = new RelayFixture(NO_RETRIES, time, "i" + i, Set.of("i" + i)).withRoutes();
            relay.withPlainTarget("t1").connectCaller().send(RelayFixture.getRequest("/once/a", "a" + i));
            receivedIds(relay, "t1");
            relay.latestTargetConnection().respond(shed("a" + i, "3"));
            instances.add(relay);
        }
        Map<Long, Integer> returnsByTenth = new HashMap<>();
        long startMillis = time.monotonicMillis();
        for (int step = 0; step < 400 && !instances.isEmpty(); step++) {
            time.advanceMillis(10);
            long tenth = (time.monotonicMillis() - startMillis) / 100;
            String id = "b" + step;
            instances.removeIf(relay -> {
                relay.connectCaller().send(RelayFixture.getRequest("/once/a", id));
                relay.connectCaller().send(RelayFixture.getRequest("/once/a", id + "b"));
                int arrived = receivedIds(relay, "t1").size();
                returnsByTenth.merge(tenth, arrived, Integer::sum);
                assertTrue(arrived <= 1, "only one call until the target has answered: " + arrived);
                return arrived > 0;
            });
        }
        assertEquals(List.of(), instances);
        returnsByTenth.forEach((tenth, count) -> {
            assertTrue(tenth >= REST_MILLIS / 100 || count == 0, count + " calls in tenth " + tenth);
            assertTrue(count <= 90 / 3, count + " of 90 instances return in tenth " + tenth);
        });
    }

    private static List<Long> arrivalsAt(String targetId, RelayFixture relay, long durationMillis) {
        long startMillis = relay.time.monotonicMillis();
        List<Long> arrivalsMillis = new ArrayList<>();
        receivedIds(relay, targetId);
        int inRest = 0;
        for (int i = 0; relay.time.monotonicMillis() - startMillis < durationMillis; i++) {
            relay.time.advanceMillis(20);
            relay.connectCaller().send(RelayFixture.getRequest("/once/a", "b" + i));
            long sinceMillis = relay.time.monotonicMillis() - startMillis;
            for (RelayFixture.FakeTargetConnection connection : List.copyOf(relay.targetConnections)) {
                Matcher matcher = REQUEST_ID.matcher(connection.takeReceived());
                while (matcher.find()) {
                    if (connection.targetId().equals(targetId)) {
                        arrivalsMillis.add(sinceMillis);
                        inRest += sinceMillis > UNDER_WAY_MILLIS && sinceMillis < REST_MILLIS ? 1 : 0;
                    }
                    connection.respond(RelayFixture.successResponse(matcher.group(1), "own"));
                }
            }
        }
        assertTrue(inRest <= MAX_CALLS_IN_REST, inRest + " calls in the rest");
        return arrivalsMillis;
    }

    private static List<String> receivedIds(RelayFixture relay, String targetId) {
        List<String> ids = new ArrayList<>();
        for (RelayFixture.FakeTargetConnection connection : relay.targetConnections) {
            Matcher matcher = REQUEST_ID.matcher(connection.takeReceived());
            while (matcher.find()) {
                if (connection.targetId().equals(targetId)) {
                    ids.add(matcher.group(1));
                }
            }
        }
        return ids;
    }

    private static double retryAfterSeconds(String refusal) {
        assertTrue(refusal.startsWith("HTTP/1.1 503 "), refusal);
        Matcher matcher = Pattern.compile("retry-after: ([0-9.]+)").matcher(refusal);
        assertTrue(matcher.find(), refusal);
        return Double.parseDouble(matcher.group(1));
    }

    private static Incarnation engine(String id) {
        return new Incarnation(id, "desk", "10.0.0.1", 80, "dc-1", 6, false, Stage.WHOLE, 0);
    }

    private static String streamRequest(String id) {
        return RelayFixture.getRequest("/stream/a", id);
    }

    private static String modelRequest(String id) {
        return RelayFixture.postRequest(
                "/model/a", id, "Model: m\r\nToken-Count: 20000,80\r\nPrompt-Prefix: 5c:15000,91:5000\r\n", "prompt");
    }

    private static String shed(String id, String seconds) {
        return "HTTP/1.1 503 X\r\nRequest-Id: " + id + "\r\nNot-Run: 1\r\nRetry-After: " + seconds
                + "\r\nContent-Length: 0\r\n\r\n";
    }
}
