package stand;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The operator raises {@code limits.maxBodyBytes} while clients keep their connections. Rule DENIED: later than
 * {@code configApplyMs} after the acknowledgement, requests that the configuration allows are ended with 413.
 */
public final class LimitsRaised {
    private static final int LOW_BYTES = 4_096;
    private static final int HIGH_BYTES = 65_536;
    private static final int BOOKING_BYTES = 10_240;
    private static final int CONFIG_APPLY_MILLIS = 2_000;
    private static final int CLIENTS_PER_MACHINE = 12;

    private LimitsRaised() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(args[1]);
        try (Record record = new Record(Path.of(args[0]))) {
            System.exit(run(folder, record, trouble));
        } catch (IOException e) {
            e.printStackTrace();
            System.exit(2);
        }
    }

    private static void configure(Store store, Record record, int version, int maxBodyBytes) {
        store.put(
                "keyed.op",
                "config",
                """
                {"version":%d,
                 "routes":[{"name":"slot-book","host":"lane.example","pathPrefix":"/book/","kind":"unsafe",
                   "service":"boekdesk","timeoutMs":2000,"targetLatencyMs":200,"maxAttempts":1,"priority":2}],
                 "services":[{"name":"boekdesk","maxConnections":110,"healthPath":"/healthz"}],
                 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":%d,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
                """
                        .formatted(version, maxBodyBytes));
        record.add("config", "version " + version, "acknowledged, maxBodyBytes " + maxBodyBytes);
    }

    private static int run(Path folder, Record record, boolean trouble) throws Exception {
        Store store = new Store();
        configure(store, record, 1, trouble ? LOW_BYTES : HIGH_BYTES);
        for (String zone : List.of("gent", "antw", "brug")) {
            new Engine(store, record, "i-desk-" + zone, "boekdesk", zone, "v1", Engine.plain(15));
        }
        List<Daemon> machines = List.of(
                new Daemon(folder, "front-gent-1", "gent", store), new Daemon(folder, "front-antw-1", "antw", store));
        for (Daemon each : machines) {
            each.start();
        }
        for (Daemon each : machines) {
            each.awaitReady();
        }
        record.add("machines", "all", "ready");
        Threads.pause(3_500);

        AtomicInteger sent = new AtomicInteger();
        AtomicInteger denied = new AtomicInteger();
        AtomicInteger otherwise = new AtomicInteger();
        List<Client> kept = new ArrayList<>();
        for (Daemon each : machines) {
            for (int i = 0; i < CLIENTS_PER_MACHINE; i++) {
                kept.add(new Client(each.front()));
            }
        }
        // A second of work with small bookings, by which each client opens its connection and keeps it.
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < kept.size(); i++) {
                book(kept.get(i), "small-" + round + "-" + i, 600, record, sent, denied, otherwise);
            }
        }
        if (trouble) {
            configure(store, record, 2, HIGH_BYTES);
        }
        // Small bookings go on; the connections stay in use.
        for (int round = 0; round < 4; round++) {
            Threads.pause((CONFIG_APPLY_MILLIS + 1_000) / 4);
            for (int i = 0; i < kept.size(); i++) {
                book(kept.get(i), "between-" + round + "-" + i, 600, record, sent, denied, otherwise);
            }
        }
        record.add("config", "bound", "configApplyMs and a second more are over");
        int before = denied.get();
        for (int i = 0; i < machines.size(); i++) {
            try (Client fresh = new Client(machines.get(i).front())) {
                book(fresh, "fresh-large-" + i, BOOKING_BYTES, record, sent, denied, otherwise);
            }
        }
        int deniedFresh = denied.get() - before;
        for (int i = 0; i < kept.size(); i++) {
            book(kept.get(i), "kept-large-" + i, BOOKING_BYTES, record, sent, denied, otherwise);
        }
        kept.forEach(Client::close);

        double bound = 5 + sent.get() / 500.0;
        record.tell("requests " + sent + ", ended with a 4xx of the system's own " + denied + " (on new connections "
                + deniedFresh + "), other failures " + otherwise + "; DENIED allows " + bound);
        if (otherwise.get() > 0) {
            return 2;
        }
        return denied.get() > bound ? 1 : 0;
    }

    private static void book(
            Client client, String id, int bytes, Record record, AtomicInteger sent, AtomicInteger denied,
            AtomicInteger otherwise) {
        sent.incrementAndGet();
        String how = client.isOpen() ? "kept connection" : "new connection";
        try {
            client.send("POST", "/book/7", id, "Deadline-Ms: 2000\r\n", new byte[bytes]);
            record.add("sent", id, bytes + " bytes of body on a " + how);
            Http.Message answer = client.answer();
            boolean own = answer.field("server-stamp").isEmpty();
            record.add("answered", id, answer.status() + (own ? " of the system's own: " + answer.text() : ""));
            boolean fourHundred = answer.status() >= 300
                    && answer.status() < 500
                    && answer.status() != 408
                    && answer.status() != 421
                    && answer.status() != 429;
            if (own && fourHundred) {
                denied.incrementAndGet();
            } else if (answer.status() != 200) {
                otherwise.incrementAndGet();
            }
        } catch (IOException e) {
            record.add("failed", id, e.toString());
            client.close();
            otherwise.incrementAndGet();
        }
    }
}
