package stand;

import java.util.List;

/**
 * A release begins: the first engine of a new version serves beside those of the version before. A second later one
 * machine of the system is killed, and its clients take their streams up at the others.
 */
public final class KilledInRelease {
    private KilledInRelease() {}

    public static void main(String[] args) throws Exception {
        Site.run(args, KilledInRelease::run);
    }

    private static int run(Site site, Record record, boolean trouble) throws Exception {
        site.configure(1, "\"service\":\"taalbank\"", "taalbank");
        site.addEngines("i-model-", 4, "taalbank", "v1");
        site.startMachines();
        site.awaitMachines();
        // The system runs for longer than any stream lives, and its engines have one version all the while.
        Threads.pause(45_000);

        Daemon first = site.machines().get(0);
        Streams streams = new Streams(record);
        streams.begin(30, List.of(first));
        Threads.pause(1_000);
        site.addEngines("i-newer-", 1, "taalbank", "v2");
        Threads.pause(1_000);
        if (trouble) {
            first.kill();
            record.add("killed", first.name(), "one process of the system");
        } else {
            streams.breakConnections();
        }
        Threads.pause(200);
        streams.takeUpAt(site.machines().subList(1, 3));
        return streams.verdict();
    }
}
