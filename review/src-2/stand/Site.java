package stand;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What the cases with streams share: a store, engines and machines of the system in two zones. */
public final class Site {
    /** What a case does; returns its exit code. */
    public interface Case {
        int run(Site site, Record record, boolean trouble) throws Exception;
    }

    private static final String SERVICE =
            """
            {"name":"%s","maxConnections":360,"healthPath":"/healthz","engine":{"slots":24,"kvCapacity":400000,
              "kvTokenBytes":18432,"linkMbps":370000.0,"handleTtlS":5}}""";

    private final Store store;
    private final Record record;
    private final List<Daemon> machines;

    private Site(Path folder, Record record, int machinesCount) throws IOException {
        this.store = new Store();
        this.record = record;
        List<Daemon> all = new ArrayList<>();
        for (int i = 0; i < machinesCount; i++) {
            String zone = i % 2 == 0 ? "gent" : "antw";
            all.add(new Daemon(folder, "front-" + zone + "-" + (1 + i / 2), zone, store));
        }
        this.machines = List.copyOf(all);
    }

    /** Runs a case with the arguments FILE-OF-THE-RECORD FOLDER; TROUBLE=0 leaves its disruption out. */
    public static void run(String[] args, int machinesCount, Case what) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Record record = new Record(Path.of(args[0]))) {
            code = what.run(new Site(Path.of(args[1]), record, machinesCount), record, trouble);
        } catch (IOException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    public List<Daemon> machines() {
        return machines;
    }

    public void addEngines(String name, int count, String service, String version) throws IOException {
        for (int i = 1; i <= count; i++) {
            new Engine(
                    store, record, name + i, service, i % 2 == 0 ? "gent" : "antw", version,
                    Engine.stream(Streams.EVENTS, Streams.GAP_MILLIS));
        }
        record.add("engines", name, count + " of service " + service + ", version " + version);
    }

    /** Writes a configuration with one route of resumable streams, whose calls are split among services. */
    public void configure(int version, String split, String... services) {
        List<String> entries = new ArrayList<>();
        for (String each : services) {
            entries.add(SERVICE.formatted(each));
        }
        store.put(
                "keyed.op",
                "config",
                """
                {"version":%d,
                 "routes":[{"name":"order","host":"lane.example","pathPrefix":"/order/","kind":"streaming",
                   "resumable":true,%s,"timeoutMs":10000,"targetLatencyMs":500,"gapAimMs":1000,
                   "maxAttempts":2,"priority":1,"sticky":true}],
                 "services":[%s],
                 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
                   "idleTimeoutMs":15000}}
                """
                        .formatted(version, split, String.join(",", entries)));
        record.add("config", "version " + version, "acknowledged: " + split);
    }

    public void startMachines() throws IOException {
        for (Daemon each : machines) {
            each.start();
        }
        record.add("started", "all", "processes of the system");
    }

    public void awaitMachines() throws IOException {
        for (Daemon each : machines) {
            each.awaitReady();
        }
        record.add("machines", "all", "ready");
    }
}
