package org.dogwoodwinch.measure.control;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.dogwoodwinch.cli.OperatorClient;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.faultrun.DaemonProcess;
import org.dogwoodwinch.standin.StandInEngineObserver;
import org.dogwoodwinch.standin.StandInEngineOptions;
import org.dogwoodwinch.standin.http.StandInFleet;
import org.dogwoodwinch.target.EngineRole;
import org.dogwoodwinch.time.SystemTimeSource;

/** Real daemon processes on loopback before stand-ins in this process. */
final class DaemonFleet {

    private static final List<String> DATA_CENTRES = List.of("kakkanad", "edappally", "vyttila");
    private static final int ENGINES = 6;

    private final EventLoopGroup group = new NioEventLoopGroup(2);
    private final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
    private final StandInFleet standIns;
    private final List<DaemonProcess> daemons = new ArrayList<>();
    private final List<OperatorClient> clients = new ArrayList<>();
    private final Path folder;

    /**
     * Starts the stand-ins and the daemons; they are not ready yet.
     *
     * @param count how many daemons
     * @throws IOException if something cannot be started
     */
    DaemonFleet(int count) throws IOException {
        this.standIns = new StandInFleet(group, new SystemTimeSource(timers), 200, StandInEngineObserver.NONE);
        this.folder = Files.createTempDirectory("dogwoodwinch-measure");
        Files.writeString(folder.resolve("secret.txt"), "0123456789abcdef0123456789abcdef");
        for (int i = 0; i < ENGINES; i++) {
            standIns.addEngine(
                    "engine-" + i,
                    "reading",
                    "reader-7b",
                    EngineRole.MIXED,
                    DATA_CENTRES.get(i % DATA_CENTRES.size()),
                    StandInEngineOptions.STANDARD);
        }
        for (int i = 0; i < count; i++) {
            addDaemon("entry-" + i, DATA_CENTRES.get(i % DATA_CENTRES.size()), i, count);
        }
    }

    /** How many appends the log has taken. */
    long appendCount() {
        return standIns.log().appendCount();
    }

    int size() {
        return daemons.size();
    }

    OperatorClient client(int index) {
        return clients.get(index);
    }

    void kill(int index) {
        daemons.get(index).kill();
    }

    void start(int index) {
        try {
            daemons.get(index).start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Ends the daemons and the stand-ins. */
    void close() {
        daemons.forEach(DaemonProcess::kill);
        standIns.close();
        timers.shutdownNow();
        group.shutdownGracefully().syncUninterruptibly();
    }

    private void addDaemon(String name, String dataCentre, int index, int count) throws IOException {
        int operatorsPort = freePort();
        Path settings = folder.resolve(name + ".json");
        Files.writeString(
                settings,
                String.format(
                        """
                        { "instance": { "name": "%s", "dataCentre": "%s" },
                          "callers": { "port": 0 },
                          "operators": { "port": %d },
                          "admission": { "limitHomeIndex": %d, "limitHomesCount": %d },
                          "peers": { "port": 0, "secretFile": "%s" },
                          "platform": { "logUrl": "%s", "instanceListUrl": "%s", "weightStoreUrl": "%s" } }
                        """,
                        name,
                        dataCentre,
                        operatorsPort,
                        index,
                        count,
                        folder.resolve("secret.txt"),
                        standIns.addresses().logUrl(),
                        standIns.addresses().instanceListUrl(),
                        standIns.addresses().weightStoreUrl()));
        DaemonProcess daemon = new DaemonProcess(name, settings, folder.resolve(name + ".out"));
        daemon.start();
        daemons.add(daemon);
        clients.add(new OperatorClient("http://127.0.0.1:" + operatorsPort));
        standIns.instanceList()
                .put(new ListedInstance(
                        name, ListedInstance.Kind.ENTRY, "127.0.0.1", operatorsPort, 0, dataCentre, false, ""));
    }

    /** The daemon's settings name its port before it starts; a port that was free a moment ago will do on loopback. */
    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
