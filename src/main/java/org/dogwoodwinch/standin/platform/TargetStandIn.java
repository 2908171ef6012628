package org.dogwoodwinch.standin.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.dogwoodwinch.time.TimeSource;

/**
 * One start of a model engine or of a plain service. An engine reads prompts one after another at a fixed rate, but for
 * the parts that it keeps, and makes an event at a fixed pace; its least recently used parts yield. Used on one event
 * loop alone.
 */
public final class TargetStandIn implements StandInHandler {

    /** The version of the software of a platform's first targets. */
    public static final String FIRST_VERSION = "v1";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Map<String, String> JSON_HEADERS = Map.of("content-type", "application/json");
    private static final String LOST_TRACE = "HTTP/9 what\r\n\r\n";

    /** Changes of its memory that it still tells; older ones are lost to those who ask late. */
    private static final int EVENTS_KEPT = 64;

    private final String id;
    private final TargetTraits traits;
    private final String softwareVersion;
    private final TimeSource time;
    private final Function<StandInRequest, TargetFault> faults;
    private final Predicate<String> crashingParts;
    private final Runnable onCrash;
    private final LinkedHashMap<String, Integer> kept = new LinkedHashMap<>(16, 0.75f, true);
    private final List<CacheEvent> events = new ArrayList<>();
    private final Set<String> handles = new TreeSet<>();
    private final Map<String, Integer> runsByRequest = new HashMap<>();
    private final Set<String> ownersServed = new ConcurrentSkipListSet<>();
    private volatile boolean hasReceivedKey;
    private String stage;
    private long readyAtMillis;
    private long highestFence = -1;
    private int ordersCount;
    private int runningCount;
    private int nextHandle = 1;
    private boolean leaving;
    private boolean crashed;
    private String restSeconds = "";
    private final AtomicInteger callsCount = new AtomicInteger();

    /**
     * Starts a target that crashes on no prompt.
     *
     * @param id the id of this start, not null
     * @param traits how it works, not null
     * @param softwareVersion the version of its software, not null
     * @param time paces it, not null
     * @param faults what it does wrong with a request, not null
     */
    public TargetStandIn(
            String id,
            TargetTraits traits,
            String softwareVersion,
            TimeSource time,
            Function<StandInRequest, TargetFault> faults) {
        this(id, traits, softwareVersion, time, faults, _part -> false, () -> {});
    }

    /**
     * Starts a target.
     *
     * @param id the id of this start, not null
     * @param traits how it works, not null
     * @param softwareVersion the version of its software, which the text of its events shows unless it is
     *     {@link #FIRST_VERSION}, not null
     * @param time paces it, not null
     * @param faults what it does wrong with a request, not null
     * @param crashingParts the parts of prompts on which it crashes when it begins to write an answer, not null
     * @param onCrash ends it, not null
     */
    public TargetStandIn(
            String id,
            TargetTraits traits,
            String softwareVersion,
            TimeSource time,
            Function<StandInRequest, TargetFault> faults,
            Predicate<String> crashingParts,
            Runnable onCrash) {
        this.id = Objects.requireNonNull(id, "id");
        this.traits = Objects.requireNonNull(traits, "traits");
        this.softwareVersion = Objects.requireNonNull(softwareVersion, "softwareVersion");
        this.time = Objects.requireNonNull(time, "time");
        this.faults = Objects.requireNonNull(faults, "faults");
        this.crashingParts = Objects.requireNonNull(crashingParts, "crashingParts");
        this.onCrash = Objects.requireNonNull(onCrash, "onCrash");
        this.stage = traits.stage();
    }

    /**
     * Returns its id.
     *
     * @return the id
     */
    public String id() {
        return id;
    }

    /**
     * Returns its stage.
     *
     * @return the stage's name; empty for a plain service
     */
    public String stage() {
        return stage;
    }

    /**
     * Returns how often each request ran.
     *
     * @return runs by request id
     */
    public Map<String, Integer> runs() {
        return Map.copyOf(runsByRequest);
    }

    /**
     * Returns the owners that requests named, each once.
     *
     * @return the names; an empty one for a request without an owner
     */
    public Set<String> ownersServed() {
        return Set.copyOf(ownersServed);
    }

    /**
     * Returns whether a request carried a caller's key, which no target may see.
     *
     * @return whether any did
     */
    public boolean hasReceivedKey() {
        return hasReceivedKey;
    }

    /**
     * Returns the memory that was read for others and not taken.
     *
     * @return how many handles are kept
     */
    public int handlesCount() {
        return handles.size();
    }

    /** Says in all answers from now on that it leaves; it goes on serving. */
    public void leave() {
        leaving = true;
    }

    /**
     * Turns all calls away from now on, and asks in each answer for a rest.
     *
     * @param seconds how long the rest shall be, as the header states it; empty to take calls again, not null
     */
    public void askForRest(String seconds) {
        restSeconds = Objects.requireNonNull(seconds, "seconds");
    }

    /**
     * Returns how many calls reached it, also those that it turned away.
     *
     * @return the calls since its start, without control calls
     */
    public int callsCount() {
        return callsCount.get();
    }

    @Override
    public void handle(StandInRequest request, StandInAnswer plainAnswer) {
        StandInAnswer answer = leaving ? new AnswerWithHeader(plainAnswer, "server-leaving", () -> "1") : plainAnswer;
        String expected = request.header("expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            answer.whole(421, Map.of("instance-id", "i-other"), new byte[0]);
            return;
        }
        switch (request.path()) {
            case "/healthz" -> answer.whole(200, Map.of("instance-id", id), new byte[0]);
            case "/report" -> json(answer, report());
            case "/kv-events" -> json(answer, cacheEvents(request));
            case "/kv-list" -> json(answer, cacheList());
            case "/order" -> order(request, answer);
            default -> {
                if (request.method().equals("DELETE") && request.path().startsWith("/kv-handle/")) {
                    handles.remove(request.path().substring("/kv-handle/".length()));
                    answer.whole(200, Map.of(), new byte[0]);
                } else {
                    run(request, answer);
                }
            }
        }
    }

    private ObjectNode report() {
        ObjectNode report = JSON.createObjectNode();
        report.put("stage", stage).put("busy", time.monotonicMillis() < readyAtMillis);
        report.put("seq", ordersCount).put("waiting", 0).put("running", runningCount);
        report.put("kvUsed", 0).put("kvTotal", traits.kvTokens()).put("kvHandles", handles.size());
        return report;
    }

    private ObjectNode cacheEvents(StandInRequest request) {
        int since = (int) request.number("since").orElse(0);
        int oldest = Math.max(0, events.size() - EVENTS_KEPT);
        ObjectNode reply = JSON.createObjectNode();
        reply.put("epoch", id).put("nextToken", events.size()).put("lost", since < oldest);
        ArrayNode list = reply.putArray("events");
        for (int i = Math.min(Math.max(since, oldest), events.size()); i < events.size(); i++) {
            CacheEvent event = events.get(i);
            list.addArray()
                    .add(i)
                    .add(event.tokens() > 0 ? "+" : "-")
                    .add("")
                    .add(event.part())
                    .add(event.tokens())
                    .add("m");
        }
        return reply;
    }

    private ObjectNode cacheList() {
        ObjectNode reply = JSON.createObjectNode();
        reply.put("epoch", id).put("nextToken", events.size());
        ArrayNode held = reply.putArray("held");
        kept.forEach((part, tokens) ->
                held.addArray().add("").add(part).add(tokens.intValue()).add("m"));
        return reply;
    }

    private void order(StandInRequest request, StandInAnswer answer) {
        try {
            ObjectNode order = (ObjectNode) JSON.readTree(request.body().toByteArray());
            if (!order.path("fence").isNumber() || order.path("holder").asText().isEmpty()) {
                answer.whole(400, Map.of(), new byte[0]);
                return;
            }
            long fence = order.path("fence").asLong();
            if (fence < highestFence) {
                answer.whole(412, Map.of(), new byte[0]);
                return;
            }
            highestFence = fence;
            obey(order, answer);
        } catch (IOException | ClassCastException e) {
            answer.whole(400, Map.of(), String.valueOf(e.getMessage()).getBytes(StandardCharsets.UTF_8));
        }
    }

    private void obey(ObjectNode order, StandInAnswer answer) {
        boolean otherState = order.has("expected") && order.path("expected").asInt() != ordersCount;
        if (otherState || time.monotonicMillis() < readyAtMillis) {
            answer.whole(409, Map.of(), new byte[0]);
            return;
        }
        String wanted = order.path("stage").asText();
        if (wanted.equals(stage)) {
            answer.whole(200, Map.of(), new byte[0]);
            return;
        }
        ordersCount++;
        stage = wanted;
        readyAtMillis = time.monotonicMillis() + traits.switchMillis();
        answer.whole(202, Map.of(), new byte[0]);
    }

    private void run(StandInRequest request, StandInAnswer answer) {
        callsCount.incrementAndGet();
        String requestId = request.header("request-id");
        if (requestId.isEmpty()) {
            answer.whole(400, Map.of("not-run", "1"), new byte[0]);
            return;
        }
        if (!restSeconds.isEmpty()) {
            answer.whole(503, Map.of("request-id", requestId, "not-run", "1", "retry-after", restSeconds), new byte[0]);
            return;
        }
        ownersServed.add(request.header("tenant"));
        hasReceivedKey |= !request.header("x-api-key").isEmpty();
        TargetFault fault = faults.apply(request);
        boolean away = time.monotonicMillis() < readyAtMillis;
        if (fault == TargetFault.REJECTED || away || runningCount >= traits.slotsCount()) {
            answer.whole(503, Map.of("request-id", requestId, "not-run", "1"), new byte[0]);
            return;
        }
        boolean prefill = request.header("stage").equals("prefill");
        if (!stage.isEmpty() && prefill != stage.equals("prefill")) {
            answer.whole(421, Map.of("instance-id", id, "not-run", "1"), new byte[0]);
            return;
        }
        String memory = request.header("kv-from");
        boolean reads = memory.isEmpty() && !stage.isEmpty();
        long readMillis = reads ? read(request) : traits.eventMillis();
        runningCount++;
        if (prefill) {
            time.schedule(readMillis, () -> prefilled(requestId, answer));
        } else {
            runsByRequest.merge(requestId, 1, Integer::sum);
            time.schedule(readMillis, () -> work(request, answer, fault));
        }
    }

    private void prefilled(String requestId, StandInAnswer answer) {
        runningCount--;
        String handle = id + "-" + nextHandle++;
        handles.add(handle);
        ObjectNode reply = JSON.createObjectNode().put("kvHandle", handle).put("version", 1);
        answer.whole(200, Map.of("request-id", requestId, "content-type", "application/json"), bytes(reply));
    }

    private void work(StandInRequest request, StandInAnswer answer, TargetFault fault) {
        if (crashed) {
            return;
        }
        if (sharedPartsOf(request).anyMatch(crashingParts)) {
            crashed = true;
            onCrash.run();
            return;
        }
        String requestId = request.header("request-id");
        switch (fault) {
            case ANSWER_LOST -> {
                runningCount--;
                answer.close();
            }
            case GARBLED -> {
                runningCount--;
                answer.raw(LOST_TRACE.getBytes(StandardCharsets.US_ASCII));
            }
            case FAILED -> {
                runningCount--;
                answer.whole(500, head(requestId), "failed".getBytes(StandardCharsets.US_ASCII));
            }
            default -> succeed(request, answer, fault);
        }
    }

    private void succeed(StandInRequest request, StandInAnswer answer, TargetFault fault) {
        String requestId = request.header("request-id");
        if (stage.isEmpty()) {
            runningCount--;
            byte[] body = ("done " + requestId).getBytes(StandardCharsets.US_ASCII);
            if (fault == TargetFault.UNFRAMED || fault == TargetFault.UNFRAMED_CUT) {
                answerUnframed(requestId, answer, body, fault);
                return;
            }
            if (fault == TargetFault.CUT) {
                answer.raw(("HTTP/1.1 200 OK\r\nrequest-id: " + requestId + "\r\nserver-stamp: " + id
                                + "\r\ncontent-length: 999\r\n\r\nhalf")
                        .getBytes(StandardCharsets.US_ASCII));
                answer.close();
                return;
            }
            answer.whole(200, head(requestId), body);
            if (fault == TargetFault.EXTRA_ANSWER) {
                answer.whole(200, head(requestId), body);
            }
            return;
        }
        if (fault == TargetFault.UNFRAMED || fault == TargetFault.UNFRAMED_CUT) {
            answer.beginUnframed(200, head(requestId));
        } else {
            answer.begin(200, head(requestId));
        }
        String last = request.header("last-event-id");
        event(answer, last.isEmpty() ? 1 : Integer.parseInt(last) + 1, fault);
    }

    private void answerUnframed(String requestId, StandInAnswer answer, byte[] body, TargetFault fault) {
        answer.beginUnframed(200, head(requestId));
        if (fault == TargetFault.UNFRAMED) {
            answer.chunk(body);
            answer.end();
        } else {
            answer.reset();
        }
    }

    /** Returns the ids of all parts of a prompt but the last, which belongs to the request alone. */
    private static Stream<String> sharedPartsOf(StandInRequest request) {
        String[] entries = request.header("prompt-prefix").split(",", -1);
        return Arrays.stream(entries)
                .limit(entries.length - 1)
                .map(entry -> entry.substring(0, Math.max(0, entry.indexOf(':'))));
    }

    private void event(StandInAnswer answer, int number, TargetFault fault) {
        if (!answer.open()) {
            runningCount--;
            return;
        }
        boolean breaksOff = fault == TargetFault.CUT || fault == TargetFault.UNFRAMED_CUT;
        if (breaksOff && number > traits.eventsCount() / 2) {
            runningCount--;
            answer.chunk(("id: " + number + "\nda").getBytes(StandardCharsets.US_ASCII));
            answer.close();
            return;
        }
        String suffix = softwareVersion.equals(FIRST_VERSION) ? "" : " " + softwareVersion;
        answer.chunk(("id: " + number + "\ndata: word" + number + suffix + "\n\n").getBytes(StandardCharsets.US_ASCII));
        if (number >= traits.eventsCount()) {
            runningCount--;
            answer.end();
        } else {
            time.schedule(traits.eventMillis(), () -> event(answer, number + 1, fault));
        }
    }

    /** How long the prompt takes, but for the parts that are kept; after it they all are. */
    private long read(StandInRequest request) {
        String parts = request.header("prompt-prefix");
        if (parts.isEmpty()) {
            return traits.eventMillis();
        }
        long unread = 0;
        boolean gap = false;
        for (String entry : parts.split(",", -1)) {
            String part = entry.substring(0, entry.indexOf(':'));
            int tokens = Integer.parseInt(entry.substring(entry.indexOf(':') + 1));
            gap |= !kept.containsKey(part);
            unread += gap ? tokens : 0;
            keep(part, tokens);
        }
        return traits.eventMillis() + Math.round(unread / traits.tokensPerMilli());
    }

    private void keep(String part, int tokens) {
        if (kept.put(part, tokens) == null) {
            events.add(new CacheEvent(part, tokens));
        }
        while (kept.values().stream().mapToLong(Integer::longValue).sum() > traits.kvTokens() && kept.size() > 1) {
            String oldest = kept.keySet().iterator().next();
            kept.remove(oldest);
            events.add(new CacheEvent(oldest, 0));
        }
    }

    private Map<String, String> head(String requestId) {
        return Map.of("request-id", requestId, "server-stamp", id + ".1", "keep-alive", "timeout=5");
    }

    private static void json(StandInAnswer answer, ObjectNode body) {
        answer.whole(200, JSON_HEADERS, bytes(body));
    }

    private static byte[] bytes(ObjectNode body) {
        try {
            return JSON.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree cannot fail to be written", e);
        }
    }

    private record CacheEvent(String part, int tokens) {}
}
