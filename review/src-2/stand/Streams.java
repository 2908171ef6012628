package stand;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients with streams that may be resumed: they read them, and take those that broke up at another machine. */
public final class Streams {
    public static final int EVENTS = 45;
    public static final int GAP_MILLIS = 200;
    private static final int DEADLINE_MILLIS = 10_000;
    private static final int TRIES = 4;

    private final Record record;
    private final List<Stream> running = new ArrayList<>();
    private int takenUp;
    private int freshCount;
    private final AtomicInteger wentOn = new AtomicInteger();
    private final AtomicInteger begun = new AtomicInteger();

    public Streams(Record record) {
        this.record = record;
    }

    /** A client's stream, and what it has received of it so far. */
    private static final class Stream {
        final String id;
        final long startNanos = System.nanoTime();
        final Client client;
        volatile int lastEvent;
        volatile boolean broken;

        Stream(String id, InetSocketAddress front) {
            this.id = id;
            this.client = new Client(front);
        }

        long leftMillis() {
            return DEADLINE_MILLIS - (System.nanoTime() - startNanos) / 1_000_000;
        }
    }

    /** Begins streams, in turn at each of some machines. */
    public void begin(int count, List<Daemon> machines) {
        for (int i = 0; i < count; i++) {
            Stream stream = new Stream("stream-" + running.size(), machines.get(i % machines.size()).front());
            running.add(stream);
            Threads.start(stream.id, () -> receive(stream));
        }
    }

    /** The clients' own connections break. */
    public void breakConnections() {
        running.forEach(each -> {
            each.broken = true;
            each.client.close();
        });
        record.add("broken", "all", "connections of the streams, by their clients");
    }

    /** Takes the broken streams up, each at the machine after its own, and begins as many new ones beside them. */
    public void takeUpAt(List<Daemon> machines) throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < running.size(); i++) {
            Stream old = running.get(i);
            InetSocketAddress front = machines.get((i + 1) % machines.size()).front();
            if (old.broken && old.lastEvent > 0 && old.lastEvent < EVENTS) {
                takenUp++;
                threads.add(Threads.start("again-" + i, () -> takeUp(old, front)));
            }
            Stream fresh = new Stream("fresh-" + i, front);
            freshCount++;
            threads.add(Threads.start(fresh.id, () -> {
                receive(fresh);
                if (fresh.lastEvent > 0) {
                    begun.incrementAndGet();
                }
            }));
        }
        for (Thread each : threads) {
            each.join(DEADLINE_MILLIS + 2_000);
        }
    }

    /** Judges by the rule LOST of streams that are taken up: returns 1 if it is broken, 0 if not, 2 if it does not apply. */
    public int verdict() {
        double shareOn = takenUp == 0 ? 0 : (double) wentOn.get() / takenUp;
        double shareBegun = freshCount == 0 ? 0 : (double) begun.get() / freshCount;
        record.tell("streams taken up " + takenUp + ", went on " + wentOn + "; new streams " + freshCount + ", began "
                + begun + "; at least a share of " + shareBegun / 2 + " has to go on");
        if (takenUp < 12 || shareBegun < 0.9) {
            return 2;
        }
        return shareOn < shareBegun / 2 ? 1 : 0;
    }

    private static String fields(Stream stream) {
        return "Model: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,"
                + Integer.toHexString(stream.id.hashCode()) + ":250\r\nDeadline-Ms: " + stream.leftMillis() + "\r\n";
    }

    private void receive(Stream stream) {
        try {
            stream.client.send("POST", "/order/2f", stream.id, fields(stream), new byte[200]);
            record.add("sent", stream.id, "a new stream");
            Http.Message head = stream.client.head();
            if (head.status() != 200) {
                record.add("answered", stream.id, Integer.toString(head.status()));
                return;
            }
            for (byte[] chunk = stream.client.chunk(); chunk.length > 0; chunk = stream.client.chunk()) {
                for (String line : new String(chunk, StandardCharsets.US_ASCII).split("\n")) {
                    if (line.startsWith("id: ")) {
                        stream.lastEvent = Integer.parseInt(line.substring(4));
                    }
                }
            }
            record.add("answered", stream.id, "200, whole, up to event " + stream.lastEvent);
        } catch (IOException e) {
            stream.broken = true;
            record.add("broken", stream.id, "after event " + stream.lastEvent);
        }
    }

    /** Takes a stream up, a few times as its refusals ask for. */
    private void takeUp(Stream stream, InetSocketAddress front) {
        int from = stream.lastEvent;
        for (int attempt = 1; attempt <= TRIES && stream.leftMillis() > 200; attempt++) {
            String id = stream.id + "-again-" + attempt;
            Client client = new Client(front);
            try (client) {
                client.send(
                        "POST",
                        "/order/2f",
                        id,
                        fields(stream) + "Last-Event-Id: " + from + "\r\nResumes: " + stream.id + "\r\n",
                        new byte[200]);
                record.add("sent", id, "goes on after event " + from + ", " + stream.leftMillis() + " ms left");
                Http.Message head = client.head();
                if (head.status() == 200 && client.chunk().length > 0) {
                    record.add("answered", id, "200, the stream goes on");
                    wentOn.incrementAndGet();
                    return;
                }
                String after = head.field("retry-after");
                record.add("answered", id, head.status() + ", retry-after " + after);
                Threads.pause(after.isEmpty() ? 200 : (long) (1_000 * Double.parseDouble(after)));
            } catch (IOException e) {
                record.add("failed", id, e.toString());
                Threads.pause(200);
            }
        }
    }
}
