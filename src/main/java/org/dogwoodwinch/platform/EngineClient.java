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
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.JsonTrees;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.net.Addresses;
import org.dogwoodwinch.relay.AnswerCheck;
import org.dogwoodwinch.relay.AnswerDecoder;
import org.dogwoodwinch.relay.CacheChanges;
import org.dogwoodwinch.relay.CacheSnapshot;
import org.dogwoodwinch.relay.ControlClient;
import org.dogwoodwinch.relay.ControlReply;
import org.dogwoodwinch.relay.ControlRequest;
import org.dogwoodwinch.relay.EngineControl;
import org.dogwoodwinch.relay.KnownOrderCounts;
import org.dogwoodwinch.relay.KvCacheHandle;
import org.dogwoodwinch.relay.OrderOutcome;
import org.dogwoodwinch.relay.OrderState;
import org.dogwoodwinch.relay.StageOrder;
import org.dogwoodwinch.relay.TargetStatements;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Calls the control interface of engines: KV cache state, stage orders and the release of KV caches. */
public final class EngineClient implements EngineControl {

    private static final Logger log = LoggerFactory.getLogger(EngineClient.class);
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int PRECONDITION_FAILED = 412;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String LONG_POLL_HEADER = "wait-ms";

    /** Columns of a cache event: sequence number, sign, unused, segment id, cached tokens, model. */
    private static final int EVENT_SEGMENT_COLUMN = 3;

    private static final int EVENT_CACHED_TOKENS_COLUMN = 4;

    /** Columns of a row of the full cache list: unused, segment id, cached tokens, model. */
    private static final int LIST_SEGMENT_COLUMN = 1;

    private static final int LIST_CACHED_TOKENS_COLUMN = 2;

    private final ControlClient controlCaller;
    private final TargetStatements statements;
    private final long timeoutMillis;
    private final long longPollMillis;
    private final KnownOrderCounts orderCounts = new KnownOrderCounts();

    /**
     * Creates a client.
     *
     * @param controlCaller sends the calls, not null
     * @param statements receives what engines state about themselves in their answers, not null
     * @param timeoutMillis the timeout of a call, in milliseconds, in addition to the time for which the engine holds
     *     it
     * @param longPollMillis how long an engine may hold a request for cache events while nothing changes, in
     *     milliseconds
     */
    public EngineClient(
            ControlClient controlCaller, TargetStatements statements, long timeoutMillis, long longPollMillis) {
        this.controlCaller = Objects.requireNonNull(controlCaller, "caller");
        this.statements = Objects.requireNonNull(statements, "statements");
        this.timeoutMillis = timeoutMillis;
        this.longPollMillis = longPollMillis;
    }

    @Override
    public Optional<KvCacheHandle> parseCacheHandle(Incarnation prefillEngine, Bytes body) {
        try {
            String handle = JsonTrees.read(body.toByteArray()).path("kvHandle").asText();
            return handle.isEmpty()
                    ? Optional.empty()
                    : Optional.of(new KvCacheHandle(prefillEngine.address(), handle));
        } catch (IOException e) {
            LogEvent.of("memory_not_understood")
                    .with("target", prefillEngine.id())
                    .with("error", e.getMessage())
                    .warn(log);
            return Optional.empty();
        }
    }

    @Override
    public void releaseCache(Incarnation prefillEngine, KvCacheHandle kvCache) {
        String uri = "/kv-handle/" + kvCache.handle();
        call(prefillEngine, HttpMethod.DELETE, uri, timeoutMillis, controlHeaders(prefillEngine), AnswerCheck.NONE)
                .thenAccept(reply -> {
                    if (!(reply instanceof ControlReply.Answered answered) || answered.status() != OK) {
                        LogEvent.of("memory_not_released")
                                .with("target", prefillEngine.id())
                                .with("reply", reply)
                                .info(log);
                    }
                });
    }

    @Override
    public CompletionStage<Optional<CacheChanges>> cacheChanges(Incarnation engine, long sinceNumber) {
        HttpHeaders headers = controlHeaders(engine).set(LONG_POLL_HEADER, longPollMillis);
        String uri = "/kv-events?since=" + sinceNumber;
        AnswerDecoder<CacheChanges> decoder = new AnswerDecoder<>(answer -> parseCacheChanges(engine, answer));
        AnswerCheck check = decoder.checkedBy(changes -> changes.mayFollow(sinceNumber));
        return call(engine, HttpMethod.GET, uri, longPollMillis + timeoutMillis, headers, check)
                .thenApply(decoder::decode);
    }

    @Override
    public CompletionStage<Optional<CacheSnapshot>> cacheSnapshot(Incarnation engine) {
        AnswerDecoder<CacheSnapshot> decoder = new AnswerDecoder<>(answer -> parseCacheList(engine, answer));
        AnswerCheck check = decoder.checkedBy(_list -> true);
        return call(engine, HttpMethod.GET, "/kv-list", timeoutMillis, controlHeaders(engine), check)
                .thenApply(decoder::decode);
    }

    @Override
    public CompletionStage<Optional<OrderState>> orderState(Incarnation engine) {
        AnswerDecoder<OrderState> decoder = new AnswerDecoder<>(answer -> parseOrderState(engine, answer));
        AnswerCheck check = decoder.checkedBy(state -> orderCounts.mayFollow(engine, state));
        return call(engine, HttpMethod.GET, "/report", timeoutMillis, controlHeaders(engine), check)
                .thenApply(reply -> orderCounts.recordReported(engine, decoder.decode(reply)));
    }

    private static Optional<OrderState> parseOrderState(Incarnation engine, ControlReply.Answered answered) {
        Optional<JsonNode> report = readBody(engine, answered)
                .filter(root -> root.path("seq").isIntegralNumber()
                        && root.path("busy").isBoolean()
                        && root.path("stage").isTextual());
        if (report.isEmpty()) {
            return Optional.empty();
        }
        JsonNode root = report.get();
        try {
            Stage stage = TargetEntryDecoder.parseStage(root.path("stage").asText());
            return Optional.of(new OrderState(
                    stage, root.path("busy").asBoolean(), root.path("seq").asLong()));
        } catch (IOException e) {
            logInvalidAnswer(e.getMessage());
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
        HttpHeaders headers =
                controlHeaders(engine).set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        ControlRequest request = new ControlRequest(HttpMethod.POST, "/order", headers, Bytes.ofUtf8(body.toString()));
        return send(engine, address -> controlCaller.callOnOwnConnection(address, request, timeoutMillis))
                .thenApply(reply -> toOrderOutcome(orderCounts.recordAnswer(engine, order, reply)));
    }

    private static OrderOutcome toOrderOutcome(ControlReply reply) {
        if (!(reply instanceof ControlReply.Answered answered)) {
            return OrderOutcome.UNKNOWN;
        }
        return switch (answered.status()) {
            case OK, ACCEPTED -> OrderOutcome.TAKEN;
            case PRECONDITION_FAILED -> OrderOutcome.FENCED;
            case CONFLICT, BAD_REQUEST, MISDIRECTED_REQUEST -> OrderOutcome.REFUSED;
            default -> OrderOutcome.UNKNOWN;
        };
    }

    private CompletionStage<ControlReply> call(
            Incarnation engine, HttpMethod method, String uri, long timeout, HttpHeaders headers, AnswerCheck check) {
        ControlRequest request = new ControlRequest(method, uri, headers, Bytes.EMPTY);
        return send(engine, address -> controlCaller.call(address, request, timeout, check));
    }

    private CompletionStage<ControlReply> send(
            Incarnation engine, Function<InetSocketAddress, CompletionStage<ControlReply>> call) {
        if (statements.isResting(engine.id(), engine.startedMillis())) {
            return CompletableFuture.completedFuture(new ControlReply.Lost("engine_rests"));
        }
        return call.apply(Addresses.of(engine.host(), engine.port()))
                .thenApply(reply -> recordStatements(engine, reply));
    }

    /** Attributes a statement to the start that the answer states, which may be a later one than the listed one. */
    private ControlReply recordStatements(Incarnation engine, ControlReply reply) {
        if (!(reply instanceof ControlReply.Answered answered)) {
            return reply;
        }
        if (PlatformHeaders.statesLeaving(answered.headers())) {
            statements.recordLeaving(engine.id(), statedStartMillis(answered).orElse(engine.startedMillis()));
        }
        // 429 concerns the one control call only: an engine holds few polls at a time.
        if (answered.status() == SERVICE_UNAVAILABLE) {
            PlatformHeaders.parseRestMillis(answered.status(), answered.headers())
                    .ifPresent(restMillis -> statements.recordRest(engine.id(), engine.startedMillis(), restMillis));
        }
        return reply;
    }

    /** Returns the start time in an answer of an engine about itself; empty for an answer without a readable one. */
    private static OptionalLong statedStartMillis(ControlReply.Answered answered) {
        if (answered.status() != OK || answered.body().length() == 0) {
            return OptionalLong.empty();
        }
        try {
            long startedMillis = TargetEntryDecoder.decodeStartMillis(
                    JsonTrees.read(answered.body().toByteArray()));
            return startedMillis == 0 ? OptionalLong.empty() : OptionalLong.of(startedMillis);
        } catch (IOException e) {
            logInvalidAnswer(e.getMessage());
            return OptionalLong.empty();
        }
    }

    /** Names the expected incarnation on every call, since another target may have got the address. */
    private static HttpHeaders controlHeaders(Incarnation engine) {
        return new DefaultHttpHeaders().set(HeaderNames.EXPECTED_INCARNATION, engine.id());
    }

    /** Ignores an answer without sequence number or epoch, since it cannot be ordered against earlier answers. */
    private static Optional<CacheChanges> parseCacheChanges(Incarnation engine, ControlReply.Answered answered) {
        return readSequenced(engine, answered, "events")
                .map(root -> new CacheChanges(
                        root.path("epoch").asText(),
                        root.at("/events/0/0").asLong(root.path("nextToken").asLong()),
                        root.path("nextToken").asLong(),
                        root.path("lost").asBoolean(),
                        parseCacheRows(root.path("events"), EVENT_SEGMENT_COLUMN, EVENT_CACHED_TOKENS_COLUMN)));
    }

    private static Optional<CacheSnapshot> parseCacheList(Incarnation engine, ControlReply.Answered answered) {
        return readSequenced(engine, answered, "held")
                .map(root -> new CacheSnapshot(
                        root.path("epoch").asText(),
                        root.path("nextToken").asLong(),
                        parseCacheRows(root.path("held"), LIST_SEGMENT_COLUMN, LIST_CACHED_TOKENS_COLUMN)));
    }

    private static Optional<JsonNode> readSequenced(
            Incarnation engine, ControlReply.Answered answered, String rowsField) {
        Optional<JsonNode> root = readBody(engine, answered);
        Optional<JsonNode> complete = root.filter(node -> node.path("nextToken").canConvertToLong()
                && node.path("nextToken").isIntegralNumber()
                && node.path("epoch").isValueNode()
                && !node.path("epoch").isNull()
                && node.path(rowsField).isArray());
        if (root.isPresent() && complete.isEmpty()) {
            logInvalidAnswer("epoch, nextToken or rows missing or of the wrong type");
        }
        return complete;
    }

    /** Skips incomplete rows: a missing count read as zero would remove a segment that is still cached. */
    private static List<CacheChanges.CacheChange> parseCacheRows(
            JsonNode rows, int segmentColumn, int cachedTokensColumn) {
        List<CacheChanges.CacheChange> changes = new ArrayList<>();
        int skippedCount = 0;
        for (JsonNode row : rows) {
            JsonNode segment = row.path(segmentColumn);
            JsonNode cachedTokens = row.path(cachedTokensColumn);
            if (segment.isTextual()
                    && !segment.asText().isEmpty()
                    && cachedTokens.isInt()
                    && cachedTokens.asInt() >= 0) {
                changes.add(new CacheChanges.CacheChange(segment.asText(), cachedTokens.asInt()));
            } else {
                skippedCount++;
            }
        }
        if (skippedCount > 0) {
            logInvalidAnswer(skippedCount + " malformed rows skipped");
        }
        return changes;
    }

    private static void logInvalidAnswer(String error) {
        LogEvent.of("engine_answer_not_understood").with("error", error).warn(log);
    }

    /** Ignores answers of another incarnation; accepts the answer if either start time is unknown. */
    private static Optional<JsonNode> readBody(Incarnation engine, ControlReply.Answered answered) {
        if (answered.status() != OK) {
            return Optional.empty();
        }
        try {
            JsonNode root = JsonTrees.read(answered.body().toByteArray());
            long startedMillis = TargetEntryDecoder.decodeStartMillis(root);
            if (startedMillis != 0 && engine.startedMillis() != 0 && startedMillis != engine.startedMillis()) {
                LogEvent.of("engine_of_another_start")
                        .with("target", engine.id())
                        .with("bornMillis", startedMillis)
                        .with("knownMillis", engine.startedMillis())
                        .info(log);
                return Optional.empty();
            }
            return Optional.of(root);
        } catch (IOException e) {
            logInvalidAnswer(e.getMessage());
            return Optional.empty();
        }
    }
}
