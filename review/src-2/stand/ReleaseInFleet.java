package stand;

/**
 * A release begins in a fleet of thirty machines: the first engine of a new version serves beside four of the version
 * before. Clients whose connections broke take up, at other machines, streams that began just before. No machine ends.
 */
public final class ReleaseInFleet {
    private static final int MACHINES = 30;

    private ReleaseInFleet() {}

    public static void main(String[] args) throws Exception {
        Site.run(args, MACHINES, ReleaseInFleet::run);
    }

    private static int run(Site site, Record record, boolean trouble) throws Exception {
        site.configure(1, "\"service\":\"taalbank\"", "taalbank");
        site.addEngines("i-model-", 4, "taalbank", "v1");
        site.startMachines();
        site.awaitMachines();
        // The system runs for longer than any stream lives, and its engines have one version all the while.
        Threads.pause(45_000);

        Streams streams = new Streams(record);
        streams.begin(2 * MACHINES, site.machines());
        Threads.pause(1_000);
        if (trouble) {
            site.addEngines("i-newer-", 1, "taalbank", "v2");
        }
        Threads.pause(1_500);
        streams.breakConnections();
        Threads.pause(200);
        streams.takeUpAt(site.machines());
        return streams.verdict();
    }
}
