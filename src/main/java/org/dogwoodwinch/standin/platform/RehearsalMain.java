package org.dogwoodwinch.standin.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.daemon.DaemonMain;
import org.dogwoodwinch.daemon.ForwardingDaemon;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.settings.ForwardingSettings;
import org.dogwoodwinch.settings.SettingsLoader;
import org.dogwoodwinch.time.SystemTimeSource;

/**
 * Runs daemons over stand-ins in one process and sends them calls of every kind, so that a build can archive the classes
 * that a daemon uses (class-data sharing). A start then takes half of the processor time.
 *
 * <p>Several daemons in two data centres, and one that is started as the program itself is: what instances tell each
 * other, by relays too, and what a process sets up around a daemon would else be looked up in jars, checked and linked
 * anew by each process, in the seconds after it has been started.
 */
public final class RehearsalMain {

    private static final int ROUNDS = 5;
    private static final int MOST_QUESTIONS = 20_000;
    private static final long STOP_SECONDS = 10;

    /** Rounds of the exchange pass while calls are sent: some thirty of 150 ms, with sums and lists of kept parts. */
    private static final long TELLING_MILLIS = 5_000;

    private static final List<TargetFault> FAULTS = List.of(
            TargetFault.NONE,
            TargetFault.REJECTED,
            TargetFault.FAILED,
            TargetFault.CUT,
            TargetFault.EXTRA_ANSWER,
            TargetFault.UNFRAMED,
            TargetFault.UNFRAMED_CUT);

    private RehearsalMain() {}

    /**
     * Rehearses once.
     *
     * @param _args ignored
     * @throws Exception if a part of it failed
     */
    public static void main(String[] _args) throws Exception {
        Transport platformLoop = Transport.start(1);
        Transport daemonLoop = Transport.start(1);
        try (PlatformStandIn platform = new PlatformStandIn(
                platformLoop, new EventLoopTime(platformLoop.eventLoopGroup().next()), PlatformStandInMain::fault)) {
            List<ForwardingDaemon> daemons = new ArrayList<>();
            for (String name : List.of("a-1", "a-2", "b-1", "b-2")) {
                daemons.add(start(settingsFile(name, platform.storeAddress()), daemonLoop));
            }
            startProgram(settingsFile("a-3", platform.storeAddress()));
            long untilMillis = SystemTimeSource.runtimeWallMillis() + TELLING_MILLIS;
            for (int round = 0; round < ROUNDS || SystemTimeSource.runtimeWallMillis() < untilMillis; round++) {
                callAll(daemons.get(round % daemons.size()), round);
            }
            for (ForwardingDaemon daemon : daemons) {
                daemon.stop().toCompletableFuture().get(STOP_SECONDS, TimeUnit.SECONDS);
            }
        }
        System.exit(0);
    }

    private static ForwardingDaemon start(Path file, Transport loop) throws IOException {
        ForwardingSettings settings =
                (ForwardingSettings) SettingsLoader.load(file).match(loaded -> loaded, problems -> {
                    throw new IllegalStateException(problems.toString());
                });
        ForwardingDaemon daemon = new ForwardingDaemon(settings, loop, RandomSource.XO_RO_SHI_RO_128_PP.create());
        daemon.start();
        daemon.watchSettings(file);
        waitUntilReady(daemon);
        return daemon;
    }

    /** Ends with this process: nobody sends it the signal to stop. */
    private static void startProgram(Path file) {
        Thread program = new Thread(() -> DaemonMain.execute(new String[] {"--settings", file.toString()}), "program");
        program.setDaemon(true);
        program.start();
    }

    private static void callAll(ForwardingDaemon daemon, int round) throws IOException {
        for (String path : new String[] {"/safe/a", "/once/a", "/stream/a", "/resume/a"}) {
            for (TargetFault fault : FAULTS) {
                String id = "r" + round + path.charAt(1) + fault.name();
                DemoCalls.ask(daemon.port(), DemoCalls.request(path, fault, id));
            }
        }
    }

    private static void waitUntilReady(ForwardingDaemon daemon) throws IOException {
        for (int i = 0; i < MOST_QUESTIONS; i++) {
            if (DemoCalls.ready(daemon.readyPort())) {
                return;
            }
        }
        throw new IOException("the daemon did not become ready");
    }

    private static Path settingsFile(String name, String storeAddress) throws IOException {
        String json = "{\"instance\":{\"name\":\"" + name + "\",\"dataCentre\":\"dc-" + name.charAt(0)
                + "\"},\"forwarding\":{"
                + "\"listen\":\"127.0.0.1:0\",\"readyListen\":\"127.0.0.1:0\",\"metricsListen\":\"127.0.0.1:0\"},"
                + "\"store\":{\"address\":\"" + storeAddress + "\"},"
                + "\"peers\":{\"listen\":\"127.0.0.1:0\",\"neighboursCount\":1},"
                + "\"duties\":{\"address\":\"" + storeAddress
                + "\",\"assigned\":\"usage_report\",\"usageWindowSeconds\":0.5,\"usageDueSeconds\":3},"
                + "\"stop\":{\"notReadyMillis\":0}}";
        Path file = Files.createTempFile("rehearsal-" + name, ".json");
        file.toFile().deleteOnExit();
        return Files.writeString(file, json);
    }
}
