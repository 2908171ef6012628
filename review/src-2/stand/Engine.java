package stand;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound engine or plain server on loopback, which registers itself in the store and renews its entry. */
public final class Engine {
    private static final int HEARTBEAT_MILLIS = 1_200;
    private static final AtomicInteger STAMPS = new AtomicInteger();

    /** What an engine does with a request that it runs. */
    public interface Run {
        void run(Engine engine, Http.Message request, OutputStream out) throws IOException;
    }

    private final Store store;
    private final String id;
    private final String service;
    private final String zone;
    private final String version;
    private final Run run;
    private final Record record;
    private final ServerSocket listener;
    private final long born = System.currentTimeMillis();

    public Engine(Store store, Record record, String id, String service, String zone, String version, Run run)
            throws IOException {
        this.store = store;
        this.record = record;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.version = version;
        this.run = run;
        this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        Threads.start(id, () -> {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Threads.start(id + "-call", () -> serve(socket));
            }
        });
        Threads.start(id + "-beat", () -> {
            for (int seq = 0; ; seq++) {
                beat(seq);
                Threads.pause(HEARTBEAT_MILLIS);
            }
        });
    }

    public String id() {
        return id;
    }

    public String version() {
        return version;
    }

    public String service() {
        return service;
    }

    private void beat(int seq) {
        store.put(
                "keyed.servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + listener.getLocalPort()
                        + "\",\"zone\":\"" + zone + "\",\"version\":\"" + version
                        + "\",\"slots\":24,\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":" + seq + ",\"born\":" + born
                        + "}");
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            var in = new java.io.BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Http.Message call = Http.whole(in); call != null; call = Http.whole(in)) {
                String expected = call.field("expect-instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    Http.answer(out, 421, Map.of("instance-id", id), new byte[0]);
                } else if (call.path().equals("/healthz")) {
                    Http.answer(out, 200, Map.of("instance-id", id), new byte[0]);
                } else if (call.path().equals("/kv-events")) {
                    Threads.pause(Math.min(1_000, Long.parseLong("0" + call.field("wait-ms"))));
                    json(out, "{\"epoch\":\"1\",\"nextToken\":0,\"lost\":false,\"events\":[],\"born\":" + born + "}");
                } else if (call.path().equals("/kv-list")) {
                    json(out, "{\"epoch\":\"1\",\"nextToken\":0,\"held\":[],\"born\":" + born + "}");
                } else if (call.field("request-id").isEmpty()) {
                    Http.answer(out, 400, Map.of("not-run", "1"), new byte[0]);
                } else {
                    record.add("run", call.field("request-id"), "at " + id + " of version " + version
                            + (call.field("last-event-id").isEmpty()
                                    ? ""
                                    : ", goes on after event " + call.field("last-event-id"))
                            + ", " + call.body().length + " bytes of body");
                    run.run(this, call, out);
                }
            }
        } catch (IOException e) {
            // The caller has left.
        }
    }

    private static void json(OutputStream out, String body) throws IOException {
        Http.answer(
                out, 200, Map.of("content-type", "application/json"), body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the fields of an answer to a request that ran here. */
    public Map<String, String> fieldsFor(Http.Message request) {
        return Map.of(
                "request-id", request.field("request-id"), "server-stamp", id + "." + STAMPS.incrementAndGet(),
                "keep-alive", "timeout=5");
    }

    /** Runs a plain request: answers after some milliseconds. */
    public static Run plain(long millis) {
        return (engine, request, out) -> {
            Threads.pause(millis);
            Http.answer(out, 200, engine.fieldsFor(request), ("done by " + engine.id()).getBytes());
        };
    }

    /** Runs a stream: events with rising ids at a fixed pace, from the one that the request names. */
    public static Run stream(int events, long gapMillis) {
        return (engine, request, out) -> {
            String last = request.field("last-event-id");
            out.write(Http.headOf(
                    200, engine.fieldsFor(request), "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"));
            for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= events; event++) {
                Threads.pause(gapMillis);
                byte[] text = ("id: " + event + "\ndata: word " + event + " of " + engine.version() + "\n\n")
                        .getBytes(StandardCharsets.US_ASCII);
                out.write((Integer.toHexString(text.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
                out.write(text);
                out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
                out.flush();
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
        };
    }
}
