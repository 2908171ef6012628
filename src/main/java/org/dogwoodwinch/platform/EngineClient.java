package org.dogwoodwinch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.net.Addresses;
import org.dogwoodwinch.relay.CacheChanges;
import org.dogwoodwinch.relay.ControlCall;
import org.dogwoodwinch.relay.ControlCaller;
import org.dogwoodwinch.relay.ControlReply;
import org.dogwoodwinch.relay.EngineControl;
import org.dogwoodwinch.relay.PromptMemory;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Speaks to engines beside running calls. */
public final class EngineClient implements EngineControl {

    private static final Logger log = LoggerFactory.getLogger(EngineClient.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final String WAIT_HEADER = "wait-ms";

    /** Columns of an event: number, sign, nothing, part, tokens kept, model. */
    private static final int PART_COLUMN = 3;

    private static final int KEPT_COLUMN = 4;

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
            String handle = JSON.readTree(body.toByteArray()).path("kvHandle").asText();
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
                .thenApply(EngineClient::changes);
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

    private static Optional<CacheChanges> changes(ControlReply reply) {
        if (!(reply instanceof ControlReply.Answered answered) || answered.status() != OK) {
            return Optional.empty();
        }
        try {
            JsonNode root = JSON.readTree(answered.body().toByteArray());
            List<CacheChanges.CacheChange> changes = new ArrayList<>();
            for (JsonNode event : root.path("events")) {
                changes.add(new CacheChanges.CacheChange(
                        event.path(PART_COLUMN).asText(),
                        event.path(KEPT_COLUMN).asInt()));
            }
            return Optional.of(new CacheChanges(
                    root.path("epoch").asText(),
                    root.path("nextToken").asLong(),
                    root.path("lost").asBoolean(),
                    changes));
        } catch (IOException e) {
            LogEvent.of("cache_events_not_understood")
                    .with("error", e.getMessage())
                    .warn(log);
            return Optional.empty();
        }
    }
}
