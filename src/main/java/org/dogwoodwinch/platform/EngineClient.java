package org.dogwoodwinch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.JsonTrees;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.net.Addresses;
import org.dogwoodwinch.relay.CacheChanges;
import org.dogwoodwinch.relay.CacheList;
import org.dogwoodwinch.relay.ControlCall;
import org.dogwoodwinch.relay.ControlCaller;
import org.dogwoodwinch.relay.ControlReply;
import org.dogwoodwinch.relay.EngineControl;
import org.dogwoodwinch.relay.OrderOutcome;
import org.dogwoodwinch.relay.OrderState;
import org.dogwoodwinch.relay.PromptMemory;
import org.dogwoodwinch.relay.StageOrder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Speaks to engines beside running calls. */
public final class EngineClient implements EngineControl {

    private static final Logger log = LoggerFactory.getLogger(EngineClient.class);
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int PRECONDITION_FAILED = 412;
    private static final int MISDIRECTED = 421;
    private static final String WAIT_HEADER = "wait-ms";

    /** Columns of an event: number, sign, nothing, part, tokens kept, model. */
    private static final int PART_COLUMN = 3;

    private static final int KEPT_COLUMN = 4;

    /** Columns of a row of the whole list: nothing, part, tokens kept, model. */
    private static final int LISTED_PART_COLUMN = 1;

    private static final int LISTED_KEPT_COLUMN = 2;

    private final ControlCaller caller;
    private final long timeoutMillis;
    private final long waitMillis;

    /**
     * Creates a client.
     *
     * @param caller makes the calls, not null
     * @param timeoutMillis how long an answer may take beside the time that the engine is asked to wait
     * @param waitMillis how long an engine may hold a question while nothing changes
     */
    public EngineClient(ControlCaller caller, long timeoutMillis, long waitMillis) {
        this.caller = Objects.requireNonNull(caller, "caller");
        this.timeoutMillis = timeoutMillis;
        this.waitMillis = waitMillis;
    }

    @Override
    public Optional<PromptMemory> readMemory(Incarnation reader, Bytes body) {
        try {
            String handle = JsonTrees.read(body.toByteArray()).path("kvHandle").asText();
            return handle.isEmpty() ? Optional.empty() : Optional.of(new PromptMemory(reader.address(), handle));
        } catch (IOException e) {
            LogEvent.of("memory_not_understood")
                    .with("target", reader.id())
                    .with("error", e.getMessage())
                    .warn(log);
            return Optional.empty();
        }
    }

    @Override
    public void release(Incarnation reader, PromptMemory memory) {
        String uri = "/kv-handle/" + memory.handle();
        call(reader, HttpMethod.DELETE, uri, timeoutMillis, headers(reader)).thenAccept(reply -> {
            if (!(reply instanceof ControlReply.Answered answered) || answered.status() != OK) {
                LogEvent.of("memory_not_released")
                        .with("target", reader.id())
                        .with("reply", reply)
                        .info(log);
            }
        });
    }

    @Override
    public CompletionStage<Optional<CacheChanges>> cacheChanges(Incarnation engine, long sinceNumber) {
        HttpHeaders headers = headers(engine).set(WAIT_HEADER, waitMillis);
        return call(engine, HttpMethod.GET, "/kv-events?since=" + sinceNumber, waitMillis + timeoutMillis, headers)
                .thenApply(reply -> changes(engine, reply));
    }

    @Override
    public CompletionStage<Optional<CacheList>> cacheList(Incarnation engine) {
        return call(engine, HttpMethod.GET, "/kv-list", timeoutMillis, headers(engine))
                .thenApply(reply -> list(engine, reply));
    }

    @Override
    public CompletionStage<Optional<OrderState>> orderState(Incarnation engine) {
        return call(engine, HttpMethod.GET, "/report", timeoutMillis, headers(engine))
                .thenApply(reply -> state(engine, reply));
    }

    private static Optional<OrderState> state(Incarnation engine, ControlReply reply) {
        Optional<JsonNode> report = read(engine, reply)
                .filter(root -> root.path("seq").isIntegralNumber()
                        && root.path("busy").isBoolean()
                        && root.path("stage").isTextual());
        if (report.isEmpty()) {
            return Optional.empty();
        }
        JsonNode root = report.get();
        try {
            Stage stage = TargetEntryDecoder.stage(root.path("stage").asText());
            return Optional.of(new OrderState(
                    stage, root.path("busy").asBoolean(), root.path("seq").asLong()));
        } catch (IOException e) {
            notUnderstood(e.getMessage());
            return Optional.empty();
        }
    }

    @Override
    public CompletionStage<OrderOutcome> order(Incarnation engine, StageOrder order) {
        ObjectNode body = JsonNodeFactory.instance
                .objectNode()
                .put("op", "stage")
                .put("stage", order.stage() == Stage.PREFILL ? "prefill" : "decode")
                .put("holder", order.holder())
                .put("fence", order.fencingToken())
                .put("expected", order.expectedOrdersCount());
        HttpHeaders headers = headers(engine).set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        return caller.call(
                        Addresses.of(engine.host(), engine.port()),
                        new ControlCall(HttpMethod.POST, "/order", headers, Bytes.ofUtf8(body.toString())),
                        timeoutMillis)
                .thenApply(EngineClient::outcome);
    }

    private static OrderOutcome outcome(ControlReply reply) {
        if (!(reply instanceof ControlReply.Answered answered)) {
            return OrderOutcome.UNKNOWN;
        }
        return switch (answered.status()) {
            case OK, ACCEPTED -> OrderOutcome.TAKEN;
            case PRECONDITION_FAILED -> OrderOutcome.FENCED;
            case CONFLICT, BAD_REQUEST, MISDIRECTED -> OrderOutcome.REFUSED;
            default -> OrderOutcome.UNKNOWN;
        };
    }

    private CompletionStage<ControlReply> call(
            Incarnation engine, HttpMethod method, String uri, long timeout, HttpHeaders headers) {
        return caller.call(
                Addresses.of(engine.host(), engine.port()),
                new ControlCall(method, uri, headers, Bytes.EMPTY),
                timeout);
    }

    /** On every call: the address may be another target's by now. */
    private static HttpHeaders headers(Incarnation engine) {
        return new DefaultHttpHeaders().set(HeaderNames.EXPECTED_INCARNATION, engine.id());
    }

    /** Without its number or its epoch an answer cannot be told from an older one, and nothing of it is taken. */
    private static Optional<CacheChanges> changes(Incarnation engine, ControlReply reply) {
        return numbered(engine, reply, "events")
                .map(root -> new CacheChanges(
                        root.path("epoch").asText(),
                        root.path("nextToken").asLong(),
                        root.path("lost").asBoolean(),
                        parts(root.path("events"), PART_COLUMN, KEPT_COLUMN)));
    }

    private static Optional<CacheList> list(Incarnation engine, ControlReply reply) {
        return numbered(engine, reply, "held")
                .map(root -> new CacheList(
                        root.path("epoch").asText(),
                        root.path("nextToken").asLong(),
                        parts(root.path("held"), LISTED_PART_COLUMN, LISTED_KEPT_COLUMN)));
    }

    private static Optional<JsonNode> numbered(Incarnation engine, ControlReply reply, String rows) {
        Optional<JsonNode> root = read(engine, reply);
        Optional<JsonNode> whole = root.filter(node -> node.path("nextToken").canConvertToLong()
                && node.path("nextToken").isIntegralNumber()
                && node.path("epoch").isValueNode()
                && !node.path("epoch").isNull()
                && node.path(rows).isArray());
        if (root.isPresent() && whole.isEmpty()) {
            notUnderstood("no epoch, number or rows");
        }
        return whole;
    }

    /** A row that is half there is passed over: a missing count read as zero would drop a part that is kept. */
    private static List<CacheChanges.CacheChange> parts(JsonNode rows, int partColumn, int keptColumn) {
        List<CacheChanges.CacheChange> parts = new ArrayList<>();
        int passedOver = 0;
        for (JsonNode row : rows) {
            JsonNode part = row.path(partColumn);
            JsonNode kept = row.path(keptColumn);
            if (part.isTextual() && !part.asText().isEmpty() && kept.isInt() && kept.asInt() >= 0) {
                parts.add(new CacheChanges.CacheChange(part.asText(), kept.asInt()));
            } else {
                passedOver++;
            }
        }
        if (passedOver > 0) {
            notUnderstood(passedOver + " rows");
        }
        return parts;
    }

    private static void notUnderstood(String error) {
        LogEvent.of("engine_answer_not_understood").with("error", error).warn(log);
    }

    /** What another start of the engine says is not of this one; an engine that states no birth is taken at its word. */
    private static Optional<JsonNode> read(Incarnation engine, ControlReply reply) {
        if (!(reply instanceof ControlReply.Answered answered) || answered.status() != OK) {
            return Optional.empty();
        }
        try {
            JsonNode root = JsonTrees.read(answered.body().toByteArray());
            long bornMillis = TargetEntryDecoder.born(root);
            if (bornMillis != 0 && engine.startedMillis() != 0 && bornMillis != engine.startedMillis()) {
                LogEvent.of("engine_of_another_start")
                        .with("target", engine.id())
                        .with("bornMillis", bornMillis)
                        .with("knownMillis", engine.startedMillis())
                        .info(log);
                return Optional.empty();
            }
            return Optional.of(root);
        } catch (IOException e) {
            notUnderstood(e.getMessage());
            return Optional.empty();
        }
    }
}
