import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.standin.platform.PlatformStandIn;
import org.dogwoodwinch.standin.platform.StoreStandIn;
import org.dogwoodwinch.standin.platform.TargetFault;

/** The store comes back from a copy while the instance that reports the usage is being restarted, as planned. */
final class UsageCase {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Pattern REPORTED = Pattern.compile("event=usage_reported .*outcome=ACCEPTED");

    /** How old the copy is from which the store comes back. */
    private static final int COPY_SECONDS = 6;

    private static final long AWAY_MILLIS = 1_000;
    private static final int REPORTS_BEFORE = 4;
    private static final long LONGEST_WAIT_MILLIS = 45_000;
    private static final long WATCH_MILLIS = 25_000;
    private static final int CLIENTS = 6;

    private static final String KEY_HEADER = "X-Api-Key: " + PlatformStandIn.KEY + "\r\nDeadline-Ms: 3000\r\n";

    private final boolean drill;
    private final boolean restart;
    private final Record record;
    private final Transport transport = Transport.start(1);
    private final List<Daemons.Daemon> daemons = new ArrayList<>();
    private final AtomicInteger sent = new AtomicInteger();
    private volatile boolean ended;
    private PlatformStandIn platform;

    private UsageCase(Record record, boolean drill, boolean restart) {
        this.record = record;
        this.drill = drill;
        this.restart = restart;
    }

    static int run(Record record, boolean drill, boolean restart, Daemons processes) throws Exception {
        return new UsageCase(record, drill, restart).run(processes);
    }

    private int run(Daemons processes) throws Exception {
        platform = new PlatformStandIn(
                transport, new EventLoopTime(transport.eventLoopGroup().next()), request -> TargetFault.NONE);
        for (int i = 1; i <= 3; i++) {
            daemons.add(processes.daemon("front-" + i, "dc-1", platform.storeAddress(), platform.storeAddress()));
        }
        for (Daemons.Daemon daemon : daemons) {
            daemon.start();
        }
        for (Daemons.Daemon daemon : daemons) {
            daemon.awaitReady();
        }
        for (int i = 0; i < CLIENTS; i++) {
            Daemons.Daemon daemon = daemons.get(i % daemons.size());
            Thread client = new Thread(() -> send(daemon), "client-" + i);
            client.setDaemon(true);
            client.start();
        }
        Deque<StoreStandIn.Copy> copies = new ArrayDeque<>();
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONGEST_WAIT_MILLIS);
        int reports = 0;
        while (reports < REPORTS_BEFORE && System.nanoTime() < until) {
            copies.addLast(onLoop(platform.store()::copy));
            if (copies.size() > COPY_SECONDS) {
                copies.removeFirst();
            }
            Thread.sleep(1_000);
            reports = platform.store().usageReports().size();
        }
        if (reports < REPORTS_BEFORE) {
            record.line("no " + REPORTS_BEFORE + " reports of usage in time: " + platform.store().usageReports());
            return 2;
        }
        Daemons.Daemon holder = holder();
        record.line("reports so far, all by " + holder.name + ":");
        platform.store().usageReports().forEach(report -> record.line("  " + report));
        if (restart) {
            record.line("SIGTERM to " + holder.name + ", as in a rolling restart");
            holder.term();
            while (holder.isAlive()) {
                copies.addLast(onLoop(platform.store()::copy));
                copies.removeFirst();
                holder.awaitEnd(1_000);
            }
            record.line(holder.name + " has ended by itself");
        }
        if (drill) {
            record.line("the store is away for " + AWAY_MILLIS + " ms and comes back from a copy that is about "
                    + copies.size() + " s old");
            onLoop(() -> {
                platform.store().mode(StoreStandIn.Mode.REFUSING);
                return true;
            });
        }
        Thread.sleep(AWAY_MILLIS);
        if (drill) {
            onLoop(() -> {
                platform.store().comeBackFrom(copies.peekFirst());
                platform.store().mode(StoreStandIn.Mode.UP);
                return true;
            });
        }
        if (restart) {
            holder.start();
            holder.awaitReady();
            record.line(holder.name + " runs again");
        }
        Thread.sleep(WATCH_MILLIS);
        ended = true;
        long ran = onLoop(() -> platform.targets().stream()
                .mapToLong(target -> target.runs().size())
                .sum());
        record.line(ran + " requests ran at the targets");
        return judge();
    }

    /** The instance that has the duty, as its log says. The rule itself is judged by what the platform got. */
    private Daemons.Daemon holder() throws IOException {
        Daemons.Daemon found = null;
        for (Daemons.Daemon daemon : daemons) {
            if (REPORTED.matcher(daemon.log()).find()) {
                found = daemon;
            }
        }
        if (found == null) {
            throw new IOException("no instance has reported");
        }
        return found;
    }

    private int judge() throws IOException {
        Map<Long, List<JsonNode>> countsByWindow = new TreeMap<>();
        record.line("all reports that the platform accepted, in their order (" + sent + " requests were sent):");
        for (String report : platform.store().usageReports()) {
            record.line("  " + report);
            JsonNode parsed = JSON.readTree(report);
            countsByWindow
                    .computeIfAbsent(parsed.path("windowId").asLong(), window -> new ArrayList<>())
                    .add(parsed.path("counts"));
        }
        int broken = 0;
        for (Map.Entry<Long, List<JsonNode>> window : countsByWindow.entrySet()) {
            if (window.getValue().stream().distinct().count() > 1) {
                broken++;
                record.line("ONE broken: window " + window.getKey() + " was reported with " + window.getValue());
            }
        }
        if (broken == 0) {
            record.line("ONE held: no window was accepted with two different counts");
        }
        return broken == 0 ? 0 : 1;
    }

    private <T> T onLoop(Supplier<T> action) throws Exception {
        CompletableFuture<T> result = new CompletableFuture<>();
        transport.eventLoopGroup().next().execute(() -> result.complete(action.get()));
        return result.get(5, TimeUnit.SECONDS);
    }

    /** A client that sends a request about every 50 ms on one kept connection, and opens another where that ends. */
    private void send(Daemons.Daemon daemon) {
        while (!ended) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), daemon.port)) {
                socket.setSoTimeout(3_000);
                while (!ended) {
                    Http.send(socket, "/once/a", "u" + sent.incrementAndGet(), KEY_HEADER, new byte[100]);
                    if (Http.receive(socket).closes()) {
                        break;
                    }
                    Thread.sleep(50);
                }
            } catch (IOException e) {
                pause();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private static void pause() {
        try {
            Thread.sleep(200);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
