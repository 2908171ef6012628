package org.dogwoodwinch.standin.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.time.TimeSource;

/**
 * The platform's store: logs with offsets, the newest record of each key, conditions and fencing epochs, with outages,
 * lost answers and forgotten history at will. One partition a topic. Used on one event loop alone.
 */
public final class StoreStandIn implements StandInHandler {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Map<String, String> JSON_HEADERS = Map.of("content-type", "application/json");
    private static final Map<String, String> RAW_HEADERS = Map.of("content-type", "application/octet-stream");
    private static final String KEYED = "keyed.";
    private static final int PAGE_ITEMS = 500;
    private static final int LENGTH_BYTES = 4;
    private static final long POLL_MILLIS = 5;

    /** How the store answers. */
    public enum Mode {
        /** It works. */
        UP,
        /** It turns every call away, and nothing is done. */
        REFUSING,
        /** It takes calls and never answers; nothing is done. */
        SILENT
    }

    private final TimeSource time;
    private final Map<String, Topic> topics = new HashMap<>();
    private final List<String> usageReports = new CopyOnWriteArrayList<>();
    private long highestUsageToken = -1;
    private final List<String> scaleOrders = new CopyOnWriteArrayList<>();
    private long highestScaleToken = -1;
    private int scaleStatus = 200;
    private Mode mode = Mode.UP;
    private long era = 1;
    private int answersToLose;
    private long callsCount;

    /**
     * Creates an empty store.
     *
     * @param time holds reading calls that wait, not null
     */
    public StoreStandIn(TimeSource time) {
        this.time = Objects.requireNonNull(time, "time");
    }

    /**
     * Changes how it answers from now on.
     *
     * @param fresh the mode, not null
     */
    public void mode(Mode fresh) {
        mode = Objects.requireNonNull(fresh, "fresh");
    }

    /**
     * Carries out the next writing calls without an answer.
     *
     * @param count how many
     */
    public void loseAnswers(int count) {
        answersToLose = count;
    }

    /**
     * Drops the records of a topic; the newest of each key stays.
     *
     * @param topic its name, not null
     */
    public void forgetHistory(String topic) {
        Topic forgotten = topic(topic);
        forgotten.first = forgotten.end();
        forgotten.records.clear();
    }

    /**
     * Copies what it holds, so that it can come back from the copy later.
     *
     * @return the copy
     */
    public Copy copy() {
        Map<String, Topic> copied = new HashMap<>();
        topics.forEach((name, topic) -> copied.put(name, topic.copy()));
        return new Copy(copied);
    }

    /**
     * Comes back from a copy: what was written since is lost, offsets are given out again, and the era rises by one.
     * What the operator and the targets wrote since has to be put again.
     *
     * @param copy the copy, not null; it may be used again
     */
    public void comeBackFrom(Copy copy) {
        topics.clear();
        copy.topics.forEach((name, topic) -> topics.put(name, topic.copy()));
        era++;
    }

    /** What a store held at one moment. */
    public static final class Copy {
        private final Map<String, Topic> topics;

        private Copy(Map<String, Topic> topics) {
            this.topics = topics;
        }
    }

    /**
     * Returns how many calls came.
     *
     * @return the count
     */
    public long callsCount() {
        return callsCount;
    }

    /**
     * Writes a record of a keyed topic, as the operator or a target does.
     *
     * @param topic the topic's name, not null
     * @param key the key, not null
     * @param value what it states; empty to drop the key, not null
     * @return the record's offset
     */
    public long put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value.getBytes(StandardCharsets.UTF_8);
        byte[] record = ByteBuffer.allocate(1 + name.length + content.length)
                .put((byte) name.length)
                .put(name)
                .put(content)
                .array();
        return topic(topic).append(record);
    }

    /**
     * Returns whether a keyed topic holds a record.
     *
     * @param topic its name, not null
     * @return whether any key has a value
     */
    public boolean hasKeys(String topic) {
        return !topic(topic).newest.isEmpty();
    }

    @Override
    public void handle(StandInRequest request, StandInAnswer plainAnswer) {
        StandInAnswer answer = new AnswerWithHeader(plainAnswer, "store-era", () -> Long.toString(era));
        callsCount++;
        if (mode == Mode.SILENT) {
            return;
        }
        if (mode == Mode.REFUSING) {
            answer.whole(503, Map.of(), new byte[0]);
            return;
        }
        String topic = request.parameter("topic").orElse("");
        switch (request.path()) {
            case "/log-append" -> append(topic, request, answer);
            case "/log-read" -> read(topic, request, answer);
            case "/log-newest" -> newest(topic, request, answer);
            // The platform takes the calls of duties at another address; here one listener serves both.
            case "/usage" -> recordUsage(request, answer);
            case "/scale" -> recordScaling(request, answer);
            case "/log-trim" -> trim(topic, request, answer);
            default -> answer.whole(404, Map.of(), new byte[0]);
        }
    }

    private void recordUsage(StandInRequest request, StandInAnswer answer) {
        long token = Long.parseLong(request.header("fence-token"));
        if (token < highestUsageToken) {
            answer.whole(409, Map.of(), new byte[0]);
            return;
        }
        highestUsageToken = token;
        usageReports.add(new String(request.body().toByteArray(), StandardCharsets.UTF_8));
        answer.whole(200, Map.of(), new byte[0]);
    }

    /**
     * Returns the reports of usage that were accepted.
     *
     * @return their bodies in the order of their arrival
     */
    public List<String> usageReports() {
        return List.copyOf(usageReports);
    }

    private void recordScaling(StandInRequest request, StandInAnswer answer) {
        long token = Long.parseLong(request.header("fence-token"));
        if (token < highestScaleToken) {
            answer.whole(409, Map.of(), new byte[0]);
            return;
        }
        highestScaleToken = token;
        scaleOrders.add(
                request.header("duty-holder") + " " + new String(request.body().toByteArray(), StandardCharsets.UTF_8));
        answer.whole(scaleStatus, Map.of(), new byte[0]);
    }

    /**
     * Changes how orders for engines are answered that have no lower token than earlier ones.
     *
     * @param status the HTTP status
     */
    public void answerScaling(int status) {
        scaleStatus = status;
    }

    /**
     * Returns the orders for engines that had no lower token than earlier ones.
     *
     * @return holder and body of each, in the order of their arrival
     */
    public List<String> scaleOrders() {
        return List.copyOf(scaleOrders);
    }

    private void append(String name, StandInRequest request, StandInAnswer answer) {
        Topic topic = topic(name);
        if (name.equals("keyed.op") || name.equals("keyed.servers")) {
            answer.whole(403, Map.of(), new byte[0]);
            return;
        }
        OptionalLong at = request.number("at");
        if (at.isPresent() && at.getAsLong() != topic.end()) {
            json(answer, 412, JSON.createObjectNode().put("end", topic.end()));
            return;
        }
        OptionalLong epoch = request.number("epoch");
        if (epoch.isPresent() && epoch.getAsLong() < topic.epoch) {
            json(answer, 409, JSON.createObjectNode().put("why", "fenced"));
            return;
        }
        topic.epoch = Math.max(topic.epoch, epoch.orElse(topic.epoch));
        long offset = topic.end();
        ByteBuffer body = ByteBuffer.wrap(request.body().toByteArray());
        while (body.remaining() >= LENGTH_BYTES) {
            byte[] record = new byte[body.getInt()];
            body.get(record);
            topic.append(record);
        }
        if (answersToLose > 0) {
            answersToLose--;
            return;
        }
        json(answer, 200, JSON.createObjectNode().put("offset", offset).put("end", topic.end()));
    }

    private void read(String name, StandInRequest request, StandInAnswer answer) {
        long from = request.number("from").orElse(0);
        readOrWait(name, from, time.monotonicMillis() + request.number("waitMs").orElse(0), answer);
    }

    private void readOrWait(String name, long from, long untilMillis, StandInAnswer answer) {
        if (mode != Mode.UP || !answer.open()) {
            return;
        }
        Topic topic = topic(name);
        if (from < topic.first || from > topic.end()) {
            json(answer, 410, JSON.createObjectNode().put("first", topic.first));
            return;
        }
        if (from >= topic.end() && time.monotonicMillis() < untilMillis) {
            time.schedule(POLL_MILLIS, () -> readOrWait(name, from, untilMillis, answer));
            return;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(topic.end())
                .putLong(topic.first)
                .array());
        for (long offset = from; offset < topic.end(); offset++) {
            byte[] record = topic.records.get((int) (offset - topic.first));
            out.writeBytes(
                    ByteBuffer.allocate(LENGTH_BYTES).putInt(record.length).array());
            out.writeBytes(record);
        }
        answer.whole(200, RAW_HEADERS, out.toByteArray());
    }

    private void newest(String name, StandInRequest request, StandInAnswer answer) {
        Topic topic = topic(name);
        ObjectNode page = JSON.createObjectNode();
        ArrayNode items = page.putArray("items");
        String after = request.parameter("after").orElse("");
        for (Map.Entry<String, Newest> entry :
                topic.newest.tailMap(after, false).entrySet()) {
            if (items.size() == PAGE_ITEMS) {
                break;
            }
            items.addObject()
                    .put("key", entry.getKey())
                    .put(
                            "value",
                            Base64.getEncoder()
                                    .encodeToString(entry.getValue().value().toByteArray()))
                    .put("offset", entry.getValue().offset());
        }
        boolean more = items.size() == PAGE_ITEMS
                && !topic.newest
                        .tailMap(items.get(PAGE_ITEMS - 1).path("key").asText(), false)
                        .isEmpty();
        page.put("truncated", more).put("end", topic.end());
        json(answer, 200, page);
    }

    private void trim(String name, StandInRequest request, StandInAnswer answer) {
        Topic topic = topic(name);
        long before = Math.min(topic.end(), request.number("before").orElse(0));
        while (topic.first < before) {
            topic.records.remove(0);
            topic.first++;
        }
        json(answer, 200, JSON.createObjectNode());
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, each -> new Topic(each.startsWith(KEYED)));
    }

    private static void json(StandInAnswer answer, int status, ObjectNode body) {
        try {
            answer.whole(status, JSON_HEADERS, JSON.writeValueAsBytes(body));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree cannot fail to be written", e);
        }
    }

    private record Newest(Bytes value, long offset) {}

    private static final class Topic {
        private final boolean keyed;
        private final List<byte[]> records = new ArrayList<>();
        private final TreeMap<String, Newest> newest = new TreeMap<>();
        private long first;
        private long epoch;

        Topic(boolean keyed) {
            this.keyed = keyed;
        }

        long end() {
            return first + records.size();
        }

        Topic copy() {
            Topic copy = new Topic(keyed);
            copy.records.addAll(records);
            copy.newest.putAll(newest);
            copy.first = first;
            copy.epoch = epoch;
            return copy;
        }

        long append(byte[] record) {
            long offset = end();
            records.add(record);
            if (keyed) {
                note(record, offset);
            }
            return offset;
        }

        private void note(byte[] record, long offset) {
            int keyLength = record[0] & 0xff;
            String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
            byte[] value = new byte[record.length - 1 - keyLength];
            System.arraycopy(record, 1 + keyLength, value, 0, value.length);
            if (value.length == 0) {
                newest.remove(key);
            } else {
                newest.put(key, new Newest(Bytes.of(value), offset));
            }
        }
    }
}
