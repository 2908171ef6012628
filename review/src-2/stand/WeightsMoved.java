package stand;

/**
 * The operator moves the weights of a route from one service to another, both of which the route goes on to name. Clients
 * whose connections broke take up streams that began before.
 */
public final class WeightsMoved {
    private static final int CONFIG_APPLY_MILLIS = 2_000;

    private WeightsMoved() {}

    public static void main(String[] args) throws Exception {
        Site.run(args, 3, WeightsMoved::run);
    }

    private static String split(int stable, int canary) {
        return "\"trafficSplit\":[{\"service\":\"taalbank\",\"weight\":" + stable + "},{\"service\":\"taalbank-next\","
                + "\"weight\":" + canary + "}]";
    }

    private static int run(Site site, Record record, boolean trouble) throws Exception {
        site.configure(1, split(90, 10), "taalbank", "taalbank-next");
        site.addEngines("i-model-", 4, "taalbank", "v1");
        site.addEngines("i-next-", 4, "taalbank-next", "v2");
        site.startMachines();
        site.awaitMachines();
        Threads.pause(5_000);

        Streams streams = new Streams(record);
        streams.begin(30, site.machines());
        Threads.pause(1_200);
        if (trouble) {
            site.configure(2, split(10, 90), "taalbank", "taalbank-next");
        }
        Threads.pause(CONFIG_APPLY_MILLIS + 200);
        streams.breakConnections();
        Threads.pause(200);
        streams.takeUpAt(site.machines());
        return streams.verdict();
    }
}
