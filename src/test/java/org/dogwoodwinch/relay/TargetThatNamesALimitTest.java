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

/** Load on targets that name a limit in their answers: calls a second that they take from all instances together. */
class TargetThatNamesALimitTest {

    private static final long NAMED_FROM_MILLIS = 2_000;
    private static final long STABLE_MILLIS = 3_000;
    private static final long WINDOW_MILLIS = 4_000;
    private static final long PLAYED_MILLIS = 14_000;
    private static final long STEP_MILLIS = 10;
    private static final long ANSWER_MILLIS = 150;
    private static final Pattern REQUEST_ID = Pattern.compile("request-id: (\\S+)", Pattern.CASE_INSENSITIVE);

    private final VirtualTimeSource time = new VirtualTimeSource(1_000_000);
    private final long beganMillis = time.monotonicMillis();
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(11);
    private final List<RelayFixture> instances = new ArrayList<>();
    private final List<RelayFixture.CallerEnd> callers = new ArrayList<>();
    private final Map<String, List<Long>> arrivalsMillis = new HashMap<>();
    private final Map<String, Double> limits = new HashMap<>();
    private boolean rejects;

    /** Two of three generating engines name a limit and go on getting what they got before, from six instances. */
    @Test
    void generatingEnginesGetNoMoreThanTheyName() {
        fleet(
                6,
                fixture -> fixture.engine("d1", Stage.DECODE)
                        .engine("d2", Stage.DECODE)
                        .engine("d3", Stage.DECODE)
                        .engine("p1", Stage.PREFILL)
                        .engine("p2", Stage.PREFILL));
        limits.put("d1", 2.2);
        limits.put("d2", 1.6);

        play(50, id -> RelayFixture.post("/model/a", id, prompt(id, 1_500), "prompt"));

        assertWithin("d1");
        assertWithin("d2");
        assertEquals(0, refusedCount(), "refused while the third engine has room");
    }

    /** A reading apart is an arrival too; a share of one call for each of many instances adds up to many at once. */
    @Test
    void aReadingEngineOfManyInstancesGetsNoMoreThanItNames() {
        fleet(
                24,
                fixture -> fixture.engine("d1", Stage.DECODE)
                        .engine("p1", Stage.PREFILL)
                        .engine("p2", Stage.PREFILL));
        limits.put("p1", 1.0);

        play(20, id -> RelayFixture.post("/model/a", id, prompt(id, 20_000), "prompt"));

        assertWithin("p1");
        assertEquals(0, refusedCount(), "refused while the other reader has room");
    }

    /** What a target rejects, and what is sent once more after a rejection, are arrivals as well. */
    @Test
    void aPlainServiceThatRejectsGetsNoMoreThanItNames() {
        fleet(6, fixture -> fixture.plain("t1").plain("t2").plain("t3"));
        limits.put("t1", 0.5);
        rejects = true;

        play(25, id -> RelayFixture.get("/safe/a", id));

        assertWithin("t1");
    }

    private void fleet(int count, Function<RelayFixture, RelayFixture> targets) {
        Set<String> names = IntStream.range(0, count).mapToObj(i -> "i" + i).collect(Collectors.toSet());
        for (int i = 0; i < count; i++) {
            instances.add(targets.apply(new RelayFixture(50, time, "i" + i, names).configured()));
        }
    }

    /** Of one of twelve subjects. */
    private static String prompt(String id, int tokens) {
        String shared = "s" + Math.floorMod(id.hashCode(), 12) + ":" + tokens / 2;
        return "Model: m\r\nToken-Count: " + tokens + ",20\r\nPrompt-Prefix: " + shared + ",o" + id + ":" + tokens / 2
                + "\r\n";
    }

    private void play(long callGapMillis, Function<String, String> request) {
        for (long played = 0; played < PLAYED_MILLIS; played += STEP_MILLIS) {
            if (played % callGapMillis < STEP_MILLIS) {
                RelayFixture instance = instances.get(random.nextInt(instances.size()));
                callers.add(instance.caller().send(request.apply("c" + played)));
            }
            instances.forEach(this::takeArrivals);
            time.advanceMillis(STEP_MILLIS);
            instances.forEach(each -> each.shares.refresh());
            tellLoads();
        }
    }

    private void tellLoads() {
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

    private void takeArrivals(RelayFixture instance) {
        for (RelayFixture.TargetEnd end : List.copyOf(instance.opened)) {
            String received = end.received();
            Matcher id = REQUEST_ID.matcher(received);
            if (id.find()) {
                arrivalsMillis
                        .computeIfAbsent(end.id(), _id -> new ArrayList<>())
                        .add(playedMillis());
                String requestId = id.group(1);
                boolean reading = received.contains("stage: prefill");
                time.schedule(ANSWER_MILLIS, () -> end.answer(answer(end.id(), requestId, reading)));
            }
        }
    }

    private String answer(String targetId, String requestId, boolean reading) {
        boolean limited = limits.containsKey(targetId) && playedMillis() >= NAMED_FROM_MILLIS;
        String limit = limited ? "\r\nServer-Limit: " + limits.get(targetId) + "\r\n" : "\r\n";
        if (limited && rejects) {
            return "HTTP/1.1 503 Busy" + limit + "Request-Id: " + requestId
                    + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        }
        String answer = reading || targetId.startsWith("t")
                ? RelayFixture.success(requestId, "h" + requestId)
                : RelayFixture.streamHead(requestId) + RelayFixture.chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n";
        return answer.replaceFirst("\r\n", limit);
    }

    private void assertWithin(String targetId) {
        double allowed = 1.5 * limits.get(targetId) * WINDOW_MILLIS / 1_000 + 5;
        List<Long> arrivals = arrivalsMillis.getOrDefault(targetId, List.of());
        for (long from : arrivals) {
            long count = arrivals.stream()
                    .filter(at -> at >= from && at < from + WINDOW_MILLIS)
                    .count();
            if (from >= NAMED_FROM_MILLIS + STABLE_MILLIS) {
                assertTrue(count <= allowed, count + " calls from " + from + " ms on at " + targetId + ", " + allowed);
            }
        }
    }

    private long refusedCount() {
        return callers.stream()
                .filter(caller -> caller.received().startsWith("HTTP/1.1 503"))
                .count();
    }

    private long playedMillis() {
        return time.monotonicMillis() - beganMillis;
    }
}
