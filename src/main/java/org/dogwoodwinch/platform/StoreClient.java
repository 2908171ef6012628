package org.dogwoodwinch.platform;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import java.util.regex.Pattern;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.bytes.JsonTrees;
import org.dogwoodwinch.follow.ConditionalLog;
import org.dogwoodwinch.follow.KeyedRecord;
import org.dogwoodwinch.follow.KeyedStream;
import org.dogwoodwinch.follow.KeyedWriter;
import org.dogwoodwinch.follow.LastAppend;
import org.dogwoodwinch.follow.LogPosition;
import org.dogwoodwinch.follow.ReadResult;
import org.dogwoodwinch.follow.StoreCallListener;
import org.dogwoodwinch.follow.StoreEras;
import org.dogwoodwinch.follow.StoreOperation;
import org.dogwoodwinch.relay.AnswerCheck;
import org.dogwoodwinch.relay.ControlClient;
import org.dogwoodwinch.relay.ControlReply;
import org.dogwoodwinch.relay.ControlRequest;

/** Reads and writes the keyed streams and logs of the platform's store. */
public final class StoreClient {

    /** The topic that holds the operator's configuration. */
    public static final String OPERATOR_TOPIC = "keyed.op";

    /** The key of the operator's configuration. */
    public static final String CONFIGURATION_KEY = "config";

    /** The topic in which targets register themselves. */
    public static final String TARGETS_TOPIC = "keyed.servers";

    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int PRECONDITION_FAILED = 412;
    private static final int RECORD_LENGTH_BYTES = 4;
    private static final int READ_HEADER_BYTES = 16;

    /** Eras that a position can hold. */
    private static final Pattern ERA = Pattern.compile("\\d{1,6}");

    private final ControlClient controlCaller;
    private final InetSocketAddress address;
    private final long timeoutMillis;
    private final StoreCallListener callListener;
    private final StoreEras eras = new StoreEras();

    /**
     * Creates a client.
     *
     * @param controlCaller sends the calls, not null
     * @param address the store's address, not null
     * @param timeoutMillis the timeout of a call, in milliseconds, in addition to the time for which the store holds it
     * @param callListener notified of each call before it is sent, not null
     */
    public StoreClient(
            ControlClient controlCaller,
            InetSocketAddress address,
            long timeoutMillis,
            StoreCallListener callListener) {
        this.controlCaller = Objects.requireNonNull(controlCaller, "caller");
        this.address = Objects.requireNonNull(address, "address");
        this.timeoutMillis = timeoutMillis;
        this.callListener = Objects.requireNonNull(callListener, "callListener");
    }

    /**
     * Returns the eras that the store's answers have stated.
     *
     * @return the eras, which notify of later ones
     */
    public StoreEras eras() {
        return eras;
    }

    /**
     * Returns a reader of a keyed stream.
     *
     * @param topic the topic, not null
     * @return the stream of the topic's only partition; its offsets are positions ({@link LogPosition})
     */
    public KeyedStream keyed(String topic) {
        return new KeyedStream() {
            @Override
            public CompletionStage<ReadResult> readSnapshotPage(Optional<String> afterKey) {
                QueryStringEncoder uri = partitionUri("/log-newest", topic);
                afterKey.ifPresent(key -> uri.addParam("after", key));
                callListener.onCall(topic, StoreOperation.SNAPSHOT);
                return sendGet(uri, timeoutMillis).thenApply(StoreClient.this::parsePage);
            }

            @Override
            public CompletionStage<ReadResult> read(long fromOffset, long waitMillis) {
                QueryStringEncoder uri = partitionUri("/log-read", topic);
                uri.addParam("from", Long.toString(LogPosition.offset(fromOffset)));
                uri.addParam("waitMs", Long.toString(waitMillis));
                callListener.onCall(topic, StoreOperation.READ);
                return sendGet(uri, waitMillis + timeoutMillis).thenApply(reply -> parseBatch(reply, fromOffset));
            }
        };
    }

    /**
     * Returns a writer of a keyed stream.
     *
     * @param topic the topic, not null
     * @return the writer to the topic's only partition
     */
    public KeyedWriter writer(String topic) {
        LastAppend last = new LastAppend();
        AnswerCheck check =
                AnswerCheck.ofContent(answer -> parseAppendReply(answer).ifKnown(), last::mayBeFollowedBy);
        return (key, value) -> {
            ControlRequest call = appendRequest(partitionUri("/log-append", topic), encodeRecord(key, value));
            callListener.onCall(topic, StoreOperation.APPEND);
            return send(call, timeoutMillis, check).thenApply(reply -> last.record(parseAppendReply(reply)));
        };
    }

    private static ControlRequest appendRequest(QueryStringEncoder uri, Bytes records) {
        return new ControlRequest(
                HttpMethod.POST,
                uri.toString(),
                new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/octet-stream"),
                records);
    }

    /**
     * Returns a log that appends a record only if the log ends at the expected offset.
     *
     * @param topic the topic, not null
     * @return the log in the topic's only partition; its offsets are positions ({@link LogPosition})
     */
    public ConditionalLog log(String topic) {
        return (content, endOffset) -> {
            QueryStringEncoder uri = partitionUri("/log-append", topic);
            uri.addParam("at", Long.toString(LogPosition.offset(endOffset)));
            ByteBuffer record = ByteBuffer.allocate(RECORD_LENGTH_BYTES + content.length());
            record.putInt(content.length()).put(content.toByteArray());
            ControlRequest call = appendRequest(uri, Bytes.of(record.array()));
            callListener.onCall(topic, StoreOperation.CONDITIONAL_APPEND);
            AnswerCheck check = AnswerCheck.ofContent(
                    answer -> parseAppendReply(answer).ifKnown(), result -> result.mayAnswer(endOffset));
            return send(call, timeoutMillis, check).thenApply(this::parseAppendReply);
        };
    }

    /**
     * Returns a log of the records of one key in a keyed topic, which keeps the newest one.
     *
     * @param topic the topic, not null
     * @param key the key, at most 255 bytes, not null
     * @return the log in the topic's only partition
     */
    public ConditionalLog keyedLog(String topic, String key) {
        ConditionalLog records = log(topic);
        return (value, endOffset) -> records.append(keyedContent(key, value), endOffset);
    }

    private static Bytes keyedContent(String key, Bytes value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        ByteBuffer content = ByteBuffer.allocate(1 + keyBytes.length + value.length());
        content.put((byte) keyBytes.length).put(keyBytes).put(value.toByteArray());
        return Bytes.of(content.array());
    }

    private ConditionalLog.Appended parseAppendReply(ControlReply reply) {
        if (!(reply instanceof ControlReply.Answered answered)) {
            return new ConditionalLog.Unknown(((ControlReply.Lost) reply).reason());
        }
        try {
            JsonNode root = JsonTrees.read(answered.body().toByteArray());
            if (answered.status() == OK && root.path("offset").isIntegralNumber()) {
                return new ConditionalLog.Written(
                        LogPosition.of(era(answered), root.path("offset").asLong()));
            }
            if (answered.status() == PRECONDITION_FAILED && root.path("end").isIntegralNumber()) {
                return new ConditionalLog.EndOffsetMismatch(
                        LogPosition.of(era(answered), root.path("end").asLong()));
            }
            return new ConditionalLog.Unknown("status " + answered.status());
        } catch (IOException e) {
            return new ConditionalLog.Unknown("invalid answer: " + e.getMessage());
        }
    }

    private static Bytes encodeRecord(String key, Optional<Bytes> value) {
        byte[] content = keyedContent(key, value.orElse(Bytes.EMPTY)).toByteArray();
        ByteBuffer record = ByteBuffer.allocate(RECORD_LENGTH_BYTES + content.length);
        record.putInt(content.length).put(content);
        return Bytes.of(record.array());
    }

    private static QueryStringEncoder partitionUri(String path, String topic) {
        QueryStringEncoder uri = new QueryStringEncoder(path);
        uri.addParam("topic", topic);
        uri.addParam("part", "0");
        return uri;
    }

    private CompletionStage<ControlReply> sendGet(QueryStringEncoder uri, long timeoutMillis) {
        return send(
                new ControlRequest(HttpMethod.GET, uri.toString(), EmptyHttpHeaders.INSTANCE, Bytes.EMPTY),
                timeoutMillis,
                AnswerCheck.NONE);
    }

    private CompletionStage<ControlReply> send(ControlRequest call, long timeoutMillis, AnswerCheck check) {
        return controlCaller.call(address, call, timeoutMillis, check).thenApply(reply -> {
            if (reply instanceof ControlReply.Answered answered) {
                statedEra(answered).ifPresent(eras::observe);
            }
            return reply;
        });
    }

    /** Returns the era of an answer; zero if it states none that can be read. */
    private static long era(ControlReply.Answered answered) {
        return statedEra(answered).orElse(0);
    }

    private static OptionalLong statedEra(ControlReply.Answered answered) {
        String text = answered.headers().get(HeaderNames.STORE_ERA);
        return text != null && ERA.matcher(text).matches()
                ? OptionalLong.of(Long.parseLong(text))
                : OptionalLong.empty();
    }

    private ReadResult parsePage(ControlReply reply) {
        if (!(reply instanceof ControlReply.Answered answered) || answered.status() != OK) {
            return toUnavailable(reply);
        }
        long era = era(answered);
        if (era < eras.latest()) {
            return new ReadResult.Unavailable(earlierEra(era));
        }
        try {
            JsonNode root = JsonTrees.read(answered.body().toByteArray());
            if (root == null
                    || !root.path("items").isArray()
                    || !root.path("end").isIntegralNumber()) {
                return new ReadResult.Unavailable("invalid page: items or end missing");
            }
            List<KeyedRecord> records = new ArrayList<>();
            for (JsonNode item : root.path("items")) {
                Bytes value =
                        Bytes.of(Base64.getDecoder().decode(item.path("value").asText()));
                records.add(new KeyedRecord(
                        item.path("key").asText(),
                        LogPosition.of(era, item.path("offset").asLong()),
                        value.length() == 0 ? Optional.empty() : Optional.of(value)));
            }
            return new ReadResult.Page(
                    records,
                    root.path("truncated").asBoolean(),
                    LogPosition.of(era, root.path("end").asLong()));
        } catch (IOException | IllegalArgumentException e) {
            return new ReadResult.Unavailable("invalid page: " + e.getMessage());
        }
    }

    /** An answer of a later era has other records at the requested offset, even if the store holds that offset. */
    private ReadResult parseBatch(ControlReply reply, long fromOffset) {
        if (!(reply instanceof ControlReply.Answered answered)
                || (answered.status() != OK && answered.status() != GONE)) {
            return toUnavailable(reply);
        }
        long era = era(answered);
        if (era < eras.latest()) {
            return new ReadResult.Unavailable(earlierEra(era));
        }
        if (answered.status() == GONE || era != LogPosition.era(fromOffset)) {
            return new ReadResult.Expired();
        }
        return parseRecords(ByteBuffer.wrap(answered.body().toByteArray()), fromOffset);
    }

    private String earlierEra(long era) {
        return "answer of an earlier era: " + era + ", known " + eras.latest();
    }

    private static ReadResult parseRecords(ByteBuffer buffer, long fromOffset) {
        if (buffer.remaining() < READ_HEADER_BYTES) {
            return new ReadResult.Unavailable("answer too short: less than " + READ_HEADER_BYTES + " bytes");
        }
        long endOffset = LogPosition.of(LogPosition.era(fromOffset), buffer.getLong());
        // Skips the first retained offset; the next offset to read follows from the records.
        buffer.getLong();
        List<KeyedRecord> records = new ArrayList<>();
        long offset = fromOffset;
        while (buffer.remaining() >= RECORD_LENGTH_BYTES) {
            int length = buffer.getInt();
            if (length < 1 || length > buffer.remaining()) {
                return new ReadResult.Unavailable("invalid record length: " + length + " bytes");
            }
            byte[] content = new byte[length];
            buffer.get(content);
            records.add(keyed(content, offset));
            offset++;
        }
        return new ReadResult.Batch(records, offset, Math.max(offset, endOffset));
    }

    private static KeyedRecord keyed(byte[] content, long offset) {
        int keyLength = Math.min(content[0] & 0xff, content.length - 1);
        String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
        int valueLength = content.length - 1 - keyLength;
        if (valueLength == 0) {
            return new KeyedRecord(key, offset, Optional.empty());
        }
        byte[] value = new byte[valueLength];
        System.arraycopy(content, 1 + keyLength, value, 0, valueLength);
        return new KeyedRecord(key, offset, Optional.of(Bytes.of(value)));
    }

    private static ReadResult toUnavailable(ControlReply reply) {
        if (reply instanceof ControlReply.Answered answered) {
            return new ReadResult.Unavailable("status " + answered.status());
        }
        return new ReadResult.Unavailable(((ControlReply.Lost) reply).reason());
    }
}
