package stand;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store on loopback: logs, keyed topics, conditions and long polls, as PROTOCOL.md tells them. */
public final class Store {
    private static final Map<String, String> JSON = Map.of("content-type", "application/json");
    private static final Map<String, String> RAW = Map.of("content-type", "application/octet-stream");

    private static final class Topic {
        final List<byte[]> records = new ArrayList<>();
        final TreeMap<String, Integer> newest = new TreeMap<>();
    }

    private final Map<String, Topic> topics = new HashMap<>();
    private final ServerSocket listener;

    public Store() throws IOException {
        listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start("store", () -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Threads.start("store-call", () -> serve(socket));
            }
        });
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Writes the newest record of a key, as the operator and the engines do; an empty value drops the key. */
    public void put(String topic, String key, String value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream record = new ByteArrayOutputStream();
        record.write(keyBytes.length);
        record.writeBytes(keyBytes);
        record.writeBytes(value.getBytes(StandardCharsets.UTF_8));
        synchronized (topics) {
            add(topic(topic), topic, record.toByteArray());
            topics.notifyAll();
        }
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, _n -> new Topic());
    }

    private static void add(Topic topic, String name, byte[] record) {
        topic.records.add(record);
        if (name.startsWith("keyed.")) {
            int length = record[0] & 0xff;
            String key = new String(record, 1, length, StandardCharsets.UTF_8);
            if (record.length == 1 + length) {
                topic.newest.remove(key);
            } else {
                topic.newest.put(key, topic.records.size() - 1);
            }
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            var in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message call = Http.whole(in); call != null; call = Http.whole(in)) {
                switch (call.path()) {
                    case "/log-append" -> append(call, out);
                    case "/log-read" -> read(call, out);
                    case "/log-newest" -> newest(call, out);
                    default -> Http.answer(out, 404, Map.of(), new byte[0]);
                }
            }
        } catch (IOException e) {
            // The caller has left.
        }
    }

    private void append(Http.Message call, OutputStream out) throws IOException {
        String name = call.query("topic");
        int status = 200;
        int offset;
        int end;
        synchronized (topics) {
            Topic topic = topic(name);
            offset = topic.records.size();
            String at = call.query("at");
            if (name.equals("keyed.op") || name.equals("keyed.servers")) {
                status = 403;
            } else if (!at.isEmpty() && Long.parseLong(at) != offset) {
                status = 412;
            } else {
                DataInputStream records = new DataInputStream(new ByteArrayInputStream(call.body()));
                while (records.available() > 0) {
                    byte[] record = new byte[records.readInt()];
                    records.readFully(record);
                    add(topic, name, record);
                }
                topics.notifyAll();
            }
            end = topic.records.size();
        }
        Threads.pause(4);
        String body = status == 200 ? "{\"offset\":" + offset + ",\"end\":" + end + "}" : "{\"end\":" + end + "}";
        Http.answer(out, status, JSON, body.getBytes(StandardCharsets.UTF_8));
    }

    private void read(Http.Message call, OutputStream out) throws Exception {
        int from = Integer.parseInt(call.query("from"));
        String wait = call.query("waitMs");
        long until = System.nanoTime() + 1_000_000L * (wait.isEmpty() ? 0 : Long.parseLong(wait));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream body = new DataOutputStream(bytes);
        synchronized (topics) {
            Topic topic = topic(call.query("topic"));
            while (topic.records.size() <= from && System.nanoTime() < until) {
                topics.wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
            if (from > topic.records.size()) {
                Http.answer(out, 410, JSON, "{\"first\":0}".getBytes(StandardCharsets.UTF_8));
                return;
            }
            body.writeLong(topic.records.size());
            body.writeLong(0);
            for (byte[] record : topic.records.subList(from, topic.records.size())) {
                body.writeInt(record.length);
                body.write(record);
            }
        }
        Threads.pause(4);
        Http.answer(out, 200, RAW, bytes.toByteArray());
    }

    private void newest(Http.Message call, OutputStream out) throws IOException {
        StringBuilder items = new StringBuilder();
        int end;
        synchronized (topics) {
            Topic topic = topic(call.query("topic"));
            end = topic.records.size();
            for (var each : topic.newest.entrySet()) {
                if (each.getKey().compareTo(call.query("after")) <= 0) {
                    continue;
                }
                byte[] record = topic.records.get(each.getValue());
                int skipped = 1 + (record[0] & 0xff);
                byte[] value = java.util.Arrays.copyOfRange(record, skipped, record.length);
                items.append(items.length() == 0 ? "" : ",")
                        .append("{\"key\":\"" + each.getKey() + "\",\"value\":\"")
                        .append(Base64.getEncoder().encodeToString(value))
                        .append("\",\"offset\":" + each.getValue() + "}");
            }
        }
        Threads.pause(4);
        Http.answer(
                out,
                200,
                JSON,
                ("{\"items\":[" + items + "],\"truncated\":false,\"end\":" + end + "}")
                        .getBytes(StandardCharsets.UTF_8));
    }
}
