package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.time.VirtualTimeSource;
import org.junit.jupiter.api.Test;

/**
 * Puts load on targets whose responses state a limit: the calls per second that they take from all instances together.
 */
class TargetRateLimitTest {

    private static final long LIMITED_FROM_MILLIS = 2_000;
    private static final long SETTLING_MILLIS = 3_000;
    private static final long WINDOW_MILLIS = 4_000;
    private static final long RUN_MILLIS = 14_000;
    private static final long STEP_MILLIS = 10;
    private static final long RESPONSE_DELAY_MILLIS = 150;
    private static final Pattern REQUEST_ID = Pattern.compile("request-id: (\\S+)", Pattern.CASE_INSENSITIVE);

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final long startedMillis = time.monotonicMillis();
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11);
    private final List<RelayFixture> instances = new ArrayList<>();
    private final List<RelayFixture.FakeCaller> callers = new ArrayList<>();
    private final Map<String, List<Long>> arrivalsMillis = new HashMap<>();
    private final Map<String, Double> limitsPerSecond = new HashMap<>();
    private boolean rejectsCalls;

    /** Load: two of three decode engines state a limit, and six instances keep sending the same number of calls. */
    @Test
    void decodeEnginesStayWithinStatedLimits() {
        startInstances(
                6,
                fixture -> fixture.withEngine("d1", Stage.DECODE)
                        .withEngine("d2", Stage.DECODE)
                        .withEngine("d3", Stage.DECODE)
                        .withEngine("p1", Stage.PREFILL)
                        .withEngine("p2", Stage.PREFILL));
        limitsPerSecond.put("d1", 2.2);
        limitsPerSecond.put("d2", 1.6);

        run(50, id -> RelayFixture.postRequest("/model/a", id, promptHeaders(id, 1_500), "prompt"));

        assertWithinLimit("d1");
        assertWithinLimit("d2");
        assertEquals(0, refusedCount(), "refused while the third engine has capacity");
    }

    /** A separate prefill counts against the limit too; one call for each of many instances adds up to a burst. */
    @Test
    void prefillEngineSharedByManyInstancesStaysWithinStatedLimit() {
        startInstances(
                24,
                fixture -> fixture.withEngine("d1", Stage.DECODE)
                        .withEngine("p1", Stage.PREFILL)
                        .withEngine("p2", Stage.PREFILL));
        limitsPerSecond.put("p1", 1.0);

        run(20, id -> RelayFixture.postRequest("/model/a", id, promptHeaders(id, 20_000), "prompt"));

        assertWithinLimit("p1");
        assertEquals(0, refusedCount(), "refused while the other prefill engine has capacity");
    }

    /** Rejected calls and the retries that follow a rejection count against the limit as well. */
    @Test
    void rejectingPlainTargetStaysWithinStatedLimit() {
        startInstances(
                6,
                fixture -> fixture.withPlainTarget("t1").withPlainTarget("t2").withPlainTarget("t3"));
        limitsPerSecond.put("t1", 0.5);
        rejectsCalls = true;

        run(25, id -> RelayFixture.getRequest("/safe/a", id));

        assertWithinLimit("t1");
    }

    private void startInstances(int count, Function<RelayFixture, RelayFixture> addTargets) {
        Set<String> instanceIds =
                IntStream.range(0, count).mapToObj(i -> "i" + i).collect(Collectors.toSet());
        for (int i = 0; i < count; i++) {
            instances.add(addTargets.apply(new RelayFixture(50, time, "i" + i, instanceIds).withRoutes()));
        }
    }

    /** Returns the headers of a prompt whose first half is one of twelve shared segments. */
    private static String promptHeaders(String id, int tokens) {
        String sharedSegment = "s" + Math.floorMod(id.hashCode(), 12) + ":" + tokens / 2;
        return "Model: m\r\nToken-Count: " + tokens + ",20\r\nPrompt-Prefix: " + sharedSegment + ",o" + id + ":"
                + tokens / 2 + "\r\n";
    }

    private void run(long callGapMillis, Function<String, String> createRequest) {
        for (long elapsedMillis = 0; elapsedMillis < RUN_MILLIS; elapsedMillis += STEP_MILLIS) {
            if (elapsedMillis % callGapMillis < STEP_MILLIS) {
                RelayFixture instance = instances.get(random.nextInt(instances.size()));
                callers.add(instance.connectCaller().send(createRequest.apply("c" + elapsedMillis)));
            }
            instances.forEach(this::recordArrivals);
            time.advanceMillis(STEP_MILLIS);
            instances.forEach(each -> each.rateLimitShares.refresh());
            exchangeLoads();
        }
    }

    private void exchangeLoads() {
        for (int i = 0; i < instances.size(); i++) {
            for (int j = 0; j < instances.size(); j++) {
                if (i != j) {
                    instances
                            .get(i)
                            .loads
                            .replacePeerLoads("i" + j, instances.get(j).loads.ownLoads());
                }
            }
        }
    }

    private void recordArrivals(RelayFixture instance) {
        for (RelayFixture.FakeTargetConnection connection : List.copyOf(instance.targetConnections)) {
            String received = connection.takeReceived();
            Matcher id = REQUEST_ID.matcher(received);
            if (id.find()) {
                arrivalsMillis
                        .computeIfAbsent(connection.targetId(), _id -> new ArrayList<>())
                        .add(elapsedMillis());
                String requestId = id.group(1);
                boolean isPrefill = received.contains("stage: prefill");
                time.schedule(
                        RESPONSE_DELAY_MILLIS,
                        () -> connection.respond(createResponse(connection.targetId(), requestId, isPrefill)));
            }
        }
    }

    private String createResponse(String targetId, String requestId, boolean isPrefill) {
        boolean isLimited = limitsPerSecond.containsKey(targetId) && elapsedMillis() >= LIMITED_FROM_MILLIS;
        String limitHeader = isLimited ? "\r\nServer-Limit: " + limitsPerSecond.get(targetId) + "\r\n" : "\r\n";
        if (isLimited && rejectsCalls) {
            return "HTTP/1.1 503 Busy" + limitHeader + "Request-Id: " + requestId
                    + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        }
        String unlimitedResponse = isPrefill || targetId.startsWith("t")
                ? RelayFixture.successResponse(requestId, "h" + requestId)
                : RelayFixture.streamResponseHead(requestId) + RelayFixture.chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n";
        return unlimitedResponse.replaceFirst("\r\n", limitHeader);
    }

    private void assertWithinLimit(String targetId) {
        double allowedCount = 1.5 * limitsPerSecond.get(targetId) * WINDOW_MILLIS / 1_000 + 5;
        List<Long> arrivals = arrivalsMillis.getOrDefault(targetId, List.of());
        for (long windowStartMillis : arrivals) {
            long count = arrivals.stream()
                    .filter(arrivalMillis ->
                            arrivalMillis >= windowStartMillis && arrivalMillis < windowStartMillis + WINDOW_MILLIS)
                    .count();
            if (windowStartMillis >= LIMITED_FROM_MILLIS + SETTLING_MILLIS) {
                assertTrue(
                        count <= allowedCount,
                        count + " calls in the window from " + windowStartMillis + " ms at " + targetId + ", allowed "
                                + allowedCount);
            }
        }
    }

    private long refusedCount() {
        return callers.stream()
                .filter(caller -> caller.takeReceived().startsWith("HTTP/1.1 503"))
                .count();
    }

    private long elapsedMillis() {
        return time.monotonicMillis() - startedMillis;
    }
}
