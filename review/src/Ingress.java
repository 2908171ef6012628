import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The platform's part: asks each machine once a second whether it is ready; two misses take it out of rotation. */
final class Ingress {

    private static final int MISSES = 2;

    private final List<Daemons.Daemon> daemons;
    private final Map<Daemons.Daemon, Integer> misses = new HashMap<>();

    Ingress(List<Daemons.Daemon> daemons) {
        this.daemons = daemons;
        for (Daemons.Daemon daemon : daemons) {
            Thread asking = new Thread(() -> ask(daemon), "ready-" + daemon.name);
            asking.setDaemon(true);
            asking.start();
        }
    }

    private void ask(Daemons.Daemon daemon) {
        try {
            while (true) {
                boolean ready = daemon.isReady();
                synchronized (this) {
                    misses.put(daemon, ready ? 0 : misses.getOrDefault(daemon, 0) + 1);
                }
                Thread.sleep(1_000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the one machine that most new connections go to: another once that one is out, any if all are. */
    synchronized Daemons.Daemon first() {
        return daemons.stream()
                .filter(daemon -> misses.getOrDefault(daemon, 0) < MISSES)
                .findFirst()
                .orElse(daemons.get(0));
    }
}
