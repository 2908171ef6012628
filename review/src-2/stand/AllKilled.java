package stand;

/**
 * All machines of the system are killed at the same moment and started again, while streams run that may be resumed.
 * When the machines are in touch again, the clients take their streams up.
 */
public final class AllKilled {
    private static final int STABLE_WINDOW_MILLIS = 3_000;

    private AllKilled() {}

    public static void main(String[] args) throws Exception {
        Site.run(args, 3, AllKilled::run);
    }

    private static int run(Site site, Record record, boolean trouble) throws Exception {
        site.configure(1, "\"service\":\"taalbank\"", "taalbank");
        site.addEngines("i-model-", 4, "taalbank", "v1");
        site.startMachines();
        site.awaitMachines();
        // The system runs for longer than any stream lives, and its engines have one version all the while.
        Threads.pause(45_000);

        Streams streams = new Streams(record);
        streams.begin(30, site.machines());
        Threads.pause(1_200);
        if (trouble) {
            site.machines().forEach(Daemon::kill);
            record.add("killed", "all", "processes of the system, at once");
        } else {
            streams.breakConnections();
        }
        Threads.pause(500);
        if (trouble) {
            site.startMachines();
        }
        long startedNanos = System.nanoTime();
        site.awaitMachines();
        Threads.pause(STABLE_WINDOW_MILLIS + 200 - (System.nanoTime() - startedNanos) / 1_000_000);
        record.add("machines", "all", "in touch: they run for longer than stableWindowMs");
        streams.takeUpAt(site.machines());
        return streams.verdict();
    }
}
