import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwinch.standin.platform.TargetTraits;

/** For some seconds the platform hands the new connections to one machine, and clients keep them. */
final class MemoryCase {

    /** The largest contract-review of the site file: 200,000 bytes, two a token. */
    private static final int BODY_BYTES = 200_000;

    private static final int PER_SECOND = 30;
    private static final long BEFORE_MILLIS = 6_000;
    private static final long TROUBLE_MILLIS = 16_000;

    /** While clients press beyond the usual, and 5 s after; then stableWindowMs, and a little more. */
    private static final long CALM_MILLIS = 9_000;

    private static final int CONNECTIONS_PER_MACHINE = 20;
    private static final long WAIT_MILLIS = Platform.STATUS_TIMEOUT_MILLIS + 500;

    /** Well under four fifths of the idle time-out of 15 s. */
    private static final long REUSE_MILLIS = 4_000;

    private static final TargetTraits ENGINE = new TargetTraits("decode", 24, 63.9, 10, 12, 393_693, 3_000);
    private static final TargetTraits PLAIN = new TargetTraits("", 6, 1, 15, 1, 0, 0);

    private final Record record;
    private final boolean trouble;
    private final List<Daemons.Daemon> daemons = new ArrayList<>();
    private final ConcurrentLinkedQueue<Client> kept = new ConcurrentLinkedQueue<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final ScheduledExecutorService pool = Executors.newScheduledThreadPool(160);
    private final Map<Daemons.Daemon, Map<String, Integer>> small = new ConcurrentHashMap<>();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger silent = new AtomicInteger();
    private Ingress ingress;
    private volatile boolean reusing = true;

    private MemoryCase(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    static int run(Record record, boolean trouble, Daemons processes) throws Exception {
        return new MemoryCase(record, trouble).run(processes);
    }

    /** A client with one connection, which it keeps. */
    private final class Client {
        private final Daemons.Daemon daemon;
        private final Socket socket;
        private volatile long lastUseNanos = System.nanoTime();
        private boolean broken;

        Client(Daemons.Daemon daemon) throws IOException {
            this.daemon = daemon;
            socket = new Socket(InetAddress.getLoopbackAddress(), daemon.port);
        }

        synchronized String review() {
            int number = ids.incrementAndGet();
            int tokens = BODY_BYTES / 2;
            String prompt = "Model: m\r\nToken-Count: " + tokens + ",12\r\nPrompt-Prefix: "
                    + String.format(Locale.ROOT, "aa%02x:39900,bb%06x:%d", number % 57, number, tokens - 39_900)
                    + "\r\n";
            return request("/review/" + number, "r" + number, prompt, new byte[BODY_BYTES], 5_000, 5_500);
        }

        /** A small request on the kept connection. Its route's time-out is 600 ms; it waits for half a second more. */
        synchronized void status() {
            if (broken) {
                return;
            }
            int number = ids.incrementAndGet();
            long sentNanos = System.nanoTime();
            String outcome = request("/status/" + number, "q" + number, "", new byte[0], 2_000, (int) WAIT_MILLIS);
            boolean lasted = System.nanoTime() - sentNanos > Platform.STATUS_TIMEOUT_MILLIS * 1_000_000;
            late.addAndGet(lasted ? 1 : 0);
            silent.addAndGet(outcome.equals("no answer") ? 1 : 0);
            small.get(daemon).merge(outcome, 1, Integer::sum);
        }

        private String request(
                String path, String id, String headers, byte[] body, int deadlineMillis, int waitMillis) {
            if (broken) {
                return "closed before";
            }
            lastUseNanos = System.nanoTime();
            try {
                socket.setSoTimeout(waitMillis);
                Http.send(socket, path, id, headers + "Deadline-Ms: " + deadlineMillis + "\r\n", body);
                Http.Answer answer = Http.receive(socket);
                broken = answer.closes();
                return Integer.toString(answer.status());
            } catch (SocketTimeoutException e) {
                broken = true;
                return "no answer";
            } catch (IOException e) {
                broken = true;
                return "connection ended";
            }
        }
    }

    private int run(Daemons processes) throws Exception {
        Platform platform = new Platform();
        platform.configure();
        for (int i = 1; i <= 8; i++) {
            platform.engine("i-e" + i, "v1", ENGINE).list();
        }
        for (int i = 1; i <= 3; i++) {
            platform.engine("i-p" + i, "v1", PLAIN).list();
            daemons.add(processes.daemon("front-" + i, "dc-1", platform.storeAddress(), ""));
        }
        for (Daemons.Daemon daemon : daemons) {
            daemon.start();
        }
        for (Daemons.Daemon daemon : daemons) {
            daemon.awaitReady();
        }
        ingress = new Ingress(daemons);
        daemons.forEach(daemon -> small.put(daemon, new ConcurrentHashMap<>()));
        List<Client> spread = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS_PER_MACHINE * daemons.size(); i++) {
            spread.add(new Client(daemons.get(i % daemons.size())));
        }
        kept.addAll(spread);
        pool.scheduleAtFixedRate(this::reuse, 200, 200, TimeUnit.MILLISECONDS);
        record.line("requests of " + BODY_BYTES + " bytes, " + PER_SECOND + " a second, over " + spread.size()
                + " kept connections to 3 machines: " + reviews(spread, BEFORE_MILLIS, false));
        if (trouble) {
            record.line("the same requests, each on a new connection, which its client keeps; nine of ten "
                    + "go to one machine, and to another once that one is out: "
                    + reviews(spread, TROUBLE_MILLIS, true));
        } else {
            record.line("the same requests over the same connections: " + reviews(spread, TROUBLE_MILLIS, false));
        }
        record.line("no more of these; " + CALM_MILLIS + " ms pass");
        Thread.sleep(CALM_MILLIS);
        reusing = false;
        Thread.sleep(2 * WAIT_MILLIS);
        record.line(platform.runs());
        return judge();
    }

    /** Sends at a steady pace and returns what became of the requests. */
    private Map<String, Integer> reviews(List<Client> spread, long lengthMillis, boolean onNew) throws Exception {
        List<Future<String>> outcomes = new ArrayList<>();
        long start = System.nanoTime();
        long gapNanos = TimeUnit.SECONDS.toNanos(1) / PER_SECOND;
        int number = 0;
        for (long due = start; due < start + lengthMillis * 1_000_000; due += gapNanos) {
            long waitNanos = due - System.nanoTime();
            if (waitNanos > 0) {
                TimeUnit.NANOSECONDS.sleep(waitNanos);
            }
            int turn = number++;
            Client client = spread.get(turn % spread.size());
            outcomes.add(pool.submit(() -> onNew ? newClient(turn) : client.review()));
        }
        return count(outcomes);
    }

    /** Most new connections go to one machine: nine of ten. */
    private String newClient(int number) {
        try {
            Client client = new Client(number % 10 == 0 ? daemons.get(number / 10 % 3) : ingress.first());
            kept.add(client);
            return client.review();
        } catch (IOException e) {
            return "no connection";
        }
    }

    private static Map<String, Integer> count(List<Future<String>> outcomes) throws Exception {
        Map<String, Integer> counts = new TreeMap<>();
        for (Future<String> outcome : outcomes) {
            counts.merge(outcome.get(), 1, Integer::sum);
        }
        return counts;
    }

    /** Clients that keep a connection use it again, with a small request. */
    private void reuse() {
        long now = System.nanoTime();
        for (Client client : kept) {
            if (reusing && !client.broken && now - client.lastUseNanos > REUSE_MILLIS * 1_000_000) {
                client.lastUseNanos = now;
                pool.submit(client::status);
            }
        }
    }

    private int judge() throws Exception {
        for (Daemons.Daemon daemon : daemons) {
            record.line(daemon.name + ": the process runs: " + daemon.isAlive() + ", /readyz answers 200: "
                    + daemon.isReady() + ", lines with OutOfMemoryError in its log: "
                    + daemon.log().lines().filter(line -> line.contains("OutOfMemoryError")).count());
        }
        record.line("small requests on connections that clients kept, with a time-out of the route of "
                + Platform.STATUS_TIMEOUT_MILLIS + " ms, " + WAIT_MILLIS + " ms after they were sent:");
        for (Daemons.Daemon daemon : daemons) {
            record.line("  to " + daemon.name + ": " + small.get(daemon));
        }
        boolean broken = silent.get() >= 8 && silent.get() * 4 > late.get();
        record.line(late + " requests lasted longer than the time-out, " + silent + " had no answer 0.5 s after it");
        record.line("CONFIG " + (broken ? "broken" : "held") + ": eight or more, and over a quarter, break it");
        return broken ? 1 : 0;
    }
}
