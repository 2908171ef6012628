import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.standin.platform.TargetTraits;

/** All machines lose power in the moment when the last engine of a software version has been replaced. */
final class VersionsCase {

    /** An event each 60 ms, 30 events: 1.8 s of the 5 s that a request has. */
    private static final TargetTraits TRAITS = new TargetTraits("decode", 24, 60, 60, 30, 390_000, 3_000);

    private static final int STREAMS = 40;
    /** "Clients abandon a stream (...) after a gap of two seconds": so they notice a loss of power, and then come back. */
    private static final long RETRY_MILLIS = 2_800;

    private static final long GAP_MILLIS = 1_000;

    private final Record record;
    private final boolean trouble;
    private final List<Daemons.Daemon> daemons = new ArrayList<>();

    private VersionsCase(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    static int run(Record record, boolean trouble, Daemons processes) throws Exception {
        return new VersionsCase(record, trouble).run(processes);
    }

    private int run(Daemons processes) throws Exception {
        Platform platform = new Platform();
        platform.configure();
        // Engines of two versions serve side by side: the first half of the release is over.
        Platform.Engine first = listed(platform, "i-a1", "v1");
        Platform.Engine last = listed(platform, "i-a2", "v1");
        listed(platform, "i-b1", "v2");
        listed(platform, "i-b2", "v2");
        for (int i = 1; i <= 3; i++) {
            daemons.add(processes.daemon("front-" + i, "dc-1", platform.storeAddress(), ""));
        }
        for (Daemons.Daemon daemon : daemons) {
            daemon.start();
        }
        for (Daemons.Daemon daemon : daemons) {
            daemon.awaitReady();
        }
        // The other half: the new engine starts first, then the old one leaves; one at a time. These engines never
        // report that they drain: their entry is removed, and they serve on for drainMs and a little longer.
        replace(platform, first, "i-c1");
        Thread.sleep(GAP_MILLIS);
        List<Stream> streams = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            Stream stream = new Stream(i, machinesOf(i), RETRY_MILLIS);
            streams.add(stream);
            Thread client = new Thread(stream::read, "client-" + i);
            clients.add(client);
            client.start();
        }
        Thread.sleep(300);
        replace(platform, last, "i-c2");
        Thread.sleep(300);
        if (trouble) {
            record.line("all machines lose power and start again");
            for (Daemons.Daemon daemon : daemons) {
                daemon.kill();
            }
            for (Daemons.Daemon daemon : daemons) {
                daemon.start();
            }
            for (Daemons.Daemon daemon : daemons) {
                daemon.awaitReady();
            }
            record.line("all machines are ready again");
        }
        for (Thread client : clients) {
            client.join();
        }
        record.line(platform.runs());
        return judge(streams);
    }

    private static Platform.Engine listed(Platform platform, String id, String version) throws Exception {
        Platform.Engine engine = platform.engine(id, version, TRAITS);
        engine.list();
        return engine;
    }

    private void replace(Platform platform, Platform.Engine leaving, String newId) throws Exception {
        listed(platform, newId, "v2");
        leaving.unlist();
        record.line(newId + " (v2) is listed, the entry of " + leaving.id + " (v1) is removed; it serves on");
    }

    private List<Daemons.Daemon> machinesOf(int number) {
        return List.of(daemons.get(number % 3), daemons.get((number + 1) % 3));
    }

    private int judge(List<Stream> streams) {
        int mixed = 0;
        int whole = 0;
        for (Stream stream : streams) {
            record.line(stream.toString());
            mixed += stream.versions.size() > 1 ? 1 : 0;
            whole += stream.complete ? 1 : 0;
        }
        record.line(whole + " of " + streams.size() + " streams complete, " + mixed
                + " hold events of two software versions");
        boolean broken = mixed > 2;
        record.line("ORDER " + (broken ? "broken" : "held") + ": more than two such streams break it");
        return broken ? 1 : 0;
    }
}
