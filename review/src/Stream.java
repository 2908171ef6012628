import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;

/** One request for a stream over its tries, as a client that takes it up with what it has. */
final class Stream {
    private static final AtomicInteger ATTEMPTS = new AtomicInteger();
    private static final long DEADLINE_MILLIS = 5_000;

    /** One retry, as on the site's sheet. */
    private static final int MOST_TRIES = 2;

    private final int number;
    private final List<Daemons.Daemon> machines;
    private final long retryMillis;
    final Set<String> versions = new TreeSet<>();
    final List<String> story = new ArrayList<>();
    private String firstId = "";
    int lastEvent;
    boolean complete;

    /** Whether an event arrived in the retry. */
    boolean wentOn;

    /** The machines are those to which the first try and the retry go. */
    Stream(int number, List<Daemons.Daemon> machines, long retryMillis) {
        this.number = number;
        this.machines = List.copyOf(machines);
        this.retryMillis = retryMillis;
    }

    void read() {
        long untilNanos = System.nanoTime() + DEADLINE_MILLIS * 1_000_000;
        for (int tries = 0; tries < MOST_TRIES && !complete; tries++) {
            long leftMillis = (untilNanos - System.nanoTime()) / 1_000_000;
            if (leftMillis <= 0) {
                return;
            }
            String id = "s" + number + "-" + ATTEMPTS.incrementAndGet();
            Daemons.Daemon daemon = machines.get(tries);
            int before = lastEvent;
            String outcome;
            try {
                outcome = attempt(daemon, id, leftMillis);
            } catch (ConnectException e) {
                outcome = "no connection";
            } catch (IOException e) {
                outcome = "broken off: " + e.getMessage();
            }
            wentOn |= tries > 0 && lastEvent > before;
            story.add(daemon.name + " " + id + ": events " + (before + 1) + " to " + lastEvent + ", " + outcome);
            if (!complete) {
                try {
                    Thread.sleep(retryMillis);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
    }

    private String attempt(Daemons.Daemon daemon, String id, long leftMillis) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), daemon.port)) {
            socket.setSoTimeout((int) leftMillis);
            String taken = lastEvent == 0
                    ? ""
                    : "Last-Event-Id: " + lastEvent + "\r\nResumes: " + firstId + "\r\n";
            socket.getOutputStream()
                    .write(("POST /review/" + number + " HTTP/1.1\r\nHost: " + Platform.HOST + "\r\nRequest-Id: "
                                    + id + "\r\nModel: m\r\nToken-Count: 300,40\r\nPrompt-Prefix: "
                                    + String.format("aa%02x:200,bb%02x:100", number, number) + "\r\nDeadline-Ms: " + leftMillis
                                    + "\r\n" + taken + "Content-Length: 5\r\n\r\nhello")
                            .getBytes(StandardCharsets.US_ASCII));
            return readAnswer(socket.getInputStream(), id);
        }
    }

    private String readAnswer(InputStream in, String id) throws IOException {
        String status = line(in);
        String header = line(in);
        while (!header.isEmpty()) {
            header = line(in);
        }
        if (!status.contains(" 200 ")) {
            return status;
        }
        StringBuilder events = new StringBuilder();
        while (true) {
            int size = Integer.parseInt(line(in), 16);
            if (size == 0) {
                line(in);
                complete = true;
                return "complete";
            }
            events.append(new String(in.readNBytes(size), StandardCharsets.UTF_8));
            line(in);
            int end;
            while ((end = events.indexOf("\n\n")) >= 0) {
                event(events.substring(0, end), id);
                events.delete(0, end + 2);
            }
        }
    }

    /** An engine's text names its version, but for the first one. */
    private void event(String event, String id) {
        String[] lines = event.split("\n");
        lastEvent = Integer.parseInt(lines[0].substring("id: ".length()));
        versions.add(lines[1].endsWith(" v2") ? "v2" : "v1");
        if (firstId.isEmpty()) {
            firstId = id;
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder read = new StringBuilder();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("closed");
            }
            if (next != '\r') {
                read.append((char) next);
            }
            next = in.read();
        }
        return read.toString();
    }

    @Override
    public String toString() {
        return "stream " + number + ": versions " + versions + "; " + String.join("; ", story);
    }
}
