import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.standin.platform.TargetTraits;

/** One machine is killed while a release begins, and clients take up the streams that it had begun for them. */
final class TakeUpCase {

    /** An event each 60 ms, 40 events: 2.4 s of the 5 s that a request has. */
    private static final TargetTraits TRAITS = new TargetTraits("decode", 24, 60, 60, 40, 390_000, 3_000);

    private static final int STREAMS = 24;
    private static final int NEW_STREAMS = 24;
    private static final long RETRY_MILLIS = 100;

    private TakeUpCase() {}

    static int run(Record record, boolean kill, boolean release, Daemons processes) throws Exception {
        Platform platform = new Platform();
        platform.configure();
        for (int i = 1; i <= 4; i++) {
            platform.engine("i-a" + i, "v1", TRAITS).list();
        }
        List<Daemons.Daemon> daemons = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            daemons.add(processes.daemon("front-" + i, "dc-1", platform.storeAddress(), ""));
        }
        for (Daemons.Daemon daemon : daemons) {
            daemon.start();
        }
        for (Daemons.Daemon daemon : daemons) {
            daemon.awaitReady();
        }
        Thread.sleep(3_000);
        List<Stream> streams = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            start(new Stream(i, List.of(daemons.get(0), daemons.get(1 + i % 2)), RETRY_MILLIS), streams, clients);
        }
        Thread.sleep(600);
        if (release) {
            platform.engine("i-b1", "v2", TRAITS).list();
            record.line("the release begins: i-b1 (v2) is listed beside four engines of v1");
        }
        Thread.sleep(500);
        if (kill) {
            daemons.get(0).kill();
            record.line("SIGKILL to " + daemons.get(0).name);
        }
        List<Stream> fresh = new ArrayList<>();
        for (int i = 0; i < NEW_STREAMS; i++) {
            start(new Stream(STREAMS + i, List.of(daemons.get(1 + i % 2), daemons.get(2 - i % 2)), RETRY_MILLIS), fresh, clients);
        }
        for (Thread client : clients) {
            client.join();
        }
        record.line(platform.runs());
        return judge(record, streams, fresh);
    }

    private static void start(Stream stream, List<Stream> streams, List<Thread> clients) {
        streams.add(stream);
        Thread client = new Thread(stream::read);
        clients.add(client);
        client.start();
    }

    private static int judge(Record record, List<Stream> streams, List<Stream> fresh) {
        int takenUp = 0;
        int wentOn = 0;
        for (Stream stream : streams) {
            record.line(stream.toString());
            if (stream.story.size() > 1) {
                takenUp++;
                wentOn += stream.wentOn ? 1 : 0;
            }
        }
        long begun = fresh.stream().filter(stream -> stream.lastEvent > 0).count();
        record.line(takenUp + " streams were taken up, " + wentOn + " of them went on; " + begun + " of " + fresh.size()
                + " new ones began");
        boolean broken = takenUp >= 12 && wentOn / (double) takenUp < 0.5 * begun / fresh.size();
        record.line("LOST " + (broken ? "broken" : "held") + ": under half of the share of new ones breaks it");
        return broken ? 1 : 0;
    }
}
