package org.dogwoodwinch.standin.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Predicate;
import org.dogwoodwinch.time.TimeSource;

/**
 * One start of a model engine or of a plain service. An engine reads prompts one after another at a fixed rate, but for
 * the parts that it keeps, and makes an event at a fixed pace; its least recently used parts yield. Used on one event
 * loop alone.
 */
public final class TargetStandIn implements StandInHandler {

    /** The version of the software of a platform's first targets. */
    public static final String FIRST_VERSION = "v1";

    /** The header of a request whose value its target repeats in the body of the answer. */
    public static final String ECHO = "x-echo";

    private static final String REQUEST_ID = "request-id";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Map<String, String> JSON_HEADERS = Map.of("content-type", "application/json");
    private static final String LOST_TRACE = "HTTP/9 what\r\n\r\n";

    private final String id;
    private final TargetTraits traits;
    private final String softwareVersion;
    private final TimeSource time;
    private final Function<StandInRequest, TargetFault> faults;
    private final Predicate<String> crashingParts;
    private final Runnable onCrash;
    private final PromptMemory memory;
    private final TargetStage stage;
    private final GivenAnswers givenAnswers = new GivenAnswers();
    private final Set<String> handles = new TreeSet<>();
    private final Map<String, Integer> runsByRequest = new ConcurrentHashMap<>();
    private final Set<String> ownersServed = new ConcurrentSkipListSet<>();
    private volatile boolean hasReceivedKey;
    private int runningCount;
    private int nextHandle = 1;
    private int stampsCount;
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
        this.memory = new PromptMemory(id, traits.kvTokens());
        this.stage = new TargetStage(traits.stage(), traits.switchMillis(), time);
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
        return stage.name();
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
     * Returns how often a request ran.
     *
     * @param requestId the id of the request, not null
     * @return the runs, also those that have not ended
     */
    public int runsOf(String requestId) {
        return runsByRequest.getOrDefault(requestId, 0);
    }

    /**
     * Returns the answers to a request, but for those to calls that only read its prompt.
     *
     * @param requestId the id of the request, not null
     * @return the answers in the order in which they began; empty if there are none
     */
    public List<GivenAnswer> answersTo(String requestId) {
        return givenAnswers.answersTo(requestId);
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
        StandInAnswer answer = withCommonHeaders(request, plainAnswer);
        String expected = request.header("expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            answer.whole(421, Map.of("instance-id", "i-other"), new byte[0]);
            return;
        }
        switch (request.path()) {
            case "/healthz" -> answer.whole(200, Map.of("instance-id", id), new byte[0]);
            case "/report" -> json(answer, report());
            case "/kv-events" ->
                json(answer, memory.changesSince((int) request.number("since").orElse(0)));
            case "/kv-list" -> json(answer, memory.allParts());
            case "/order" -> stage.order(request.body(), answer);
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

    private StandInAnswer withCommonHeaders(StandInRequest request, StandInAnswer plainAnswer) {
        String requestId = request.header(REQUEST_ID);
        StandInAnswer answer =
                requestId.isEmpty() ? plainAnswer : new AnswerWithHeader(plainAnswer, REQUEST_ID, () -> requestId);
        return leaving ? new AnswerWithHeader(answer, "server-leaving", () -> "1") : answer;
    }

    private ObjectNode report() {
        ObjectNode report = JSON.createObjectNode();
        report.put("stage", stage.name()).put("busy", stage.isSwitching());
        report.put("seq", stage.ordersCount()).put("waiting", 0).put("running", runningCount);
        report.put("kvUsed", 0).put("kvTotal", traits.kvTokens()).put("kvHandles", handles.size());
        return report;
    }

    private void run(StandInRequest request, StandInAnswer plainAnswer) {
        callsCount.incrementAndGet();
        String requestId = request.header(REQUEST_ID);
        if (requestId.isEmpty()) {
            plainAnswer.whole(400, Map.of("not-run", "1"), new byte[0]);
            return;
        }
        boolean prefill = request.header("stage").equals("prefill");
        StandInAnswer answer = prefill ? plainAnswer : givenAnswers.record(requestId, plainAnswer);
        if (!restSeconds.isEmpty()) {
            answer.whole(503, Map.of(REQUEST_ID, requestId, "not-run", "1", "retry-after", restSeconds), new byte[0]);
            return;
        }
        ownersServed.add(request.header("tenant"));
        hasReceivedKey |= !request.header("x-api-key").isEmpty();
        TargetFault fault = faults.apply(request);
        if (fault == TargetFault.REJECTED || stage.isSwitching() || runningCount >= traits.slotsCount()) {
            answer.whole(503, Map.of(REQUEST_ID, requestId, "not-run", "1"), new byte[0]);
            return;
        }
        if (!stage.name().isEmpty() && prefill != stage.name().equals("prefill")) {
            answer.whole(421, Map.of("instance-id", id, "not-run", "1"), new byte[0]);
            return;
        }
        boolean reads = request.header("kv-from").isEmpty() && !stage.name().isEmpty();
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
        answer.whole(200, Map.of(REQUEST_ID, requestId, "content-type", "application/json"), bytes(reply));
    }

    private void work(StandInRequest request, StandInAnswer answer, TargetFault fault) {
        if (crashed) {
            return;
        }
        if (request.sharedPromptParts().anyMatch(crashingParts)) {
            crashed = true;
            onCrash.run();
            return;
        }
        switch (fault) {
            case ANSWER_LOST -> {
                runningCount--;
                answer.close();
            }
            case GARBLED -> {
                runningCount--;
                answer.raw(LOST_TRACE.getBytes(StandardCharsets.US_ASCII));
            }
            case FAILED -> fail(request, answer, 500);
            case TIMED_OUT -> fail(request, answer, 504);
            default -> succeed(request, answer, fault);
        }
    }

    private void fail(StandInRequest request, StandInAnswer answer, int status) {
        runningCount--;
        answer.whole(status, newHead(request), ascii("failed" + echo(request)));
    }

    private void succeed(StandInRequest request, StandInAnswer answer, TargetFault fault) {
        Map<String, String> head = newHead(request);
        boolean unframed = fault == TargetFault.UNFRAMED || fault == TargetFault.UNFRAMED_CUT;
        if (stage.name().isEmpty()) {
            runningCount--;
            PlainSuccess.write(head, ascii("done " + head.get(REQUEST_ID) + echo(request)), answer, fault);
            return;
        }
        if (unframed) {
            answer.beginUnframed(200, head);
        } else {
            answer.begin(200, head);
        }
        String last = request.header("last-event-id");
        event(answer, last.isEmpty() ? 1 : Integer.parseInt(last) + 1, echo(request), fault);
    }

    private void event(StandInAnswer answer, int number, String echo, TargetFault fault) {
        if (!answer.open()) {
            runningCount--;
            return;
        }
        boolean breaksOff = fault == TargetFault.CUT || fault == TargetFault.UNFRAMED_CUT;
        if (breaksOff && number > traits.eventsCount() / 2) {
            runningCount--;
            answer.chunk(ascii("id: " + number + "\nda"));
            answer.close();
            return;
        }
        String suffix = softwareVersion.equals(FIRST_VERSION) ? "" : " " + softwareVersion;
        answer.chunk(ascii("id: " + number + "\ndata: word" + number + suffix + echo + "\n\n"));
        if (number >= traits.eventsCount()) {
            runningCount--;
            answer.end();
        } else {
            time.schedule(traits.eventMillis(), () -> event(answer, number + 1, echo, fault));
        }
    }

    /** How long the prompt takes, but for the parts that are kept; after it they all are. */
    private long read(StandInRequest request) {
        return traits.eventMillis()
                + Math.round(memory.read(request.header("prompt-prefix")) / traits.tokensPerMilli());
    }

    /** Returns the head of another answer, whose stamp no other answer has. */
    private Map<String, String> newHead(StandInRequest request) {
        stampsCount++;
        return Map.of(
                REQUEST_ID,
                request.header(REQUEST_ID),
                "server-stamp",
                id + "." + stampsCount,
                "keep-alive",
                "timeout=5");
    }

    private static String echo(StandInRequest request) {
        String echo = request.header(ECHO);
        return echo.isEmpty() ? "" : " " + echo;
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
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
}
