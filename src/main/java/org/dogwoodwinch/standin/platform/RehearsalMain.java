package org.dogwoodwinch.standin.platform;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.daemon.ForwardingDaemon;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.settings.ForwardingSettings;
import org.dogwoodwinch.settings.SettingsLoader;

/**
 * Runs a daemon over stand-ins in one process and sends it calls of every kind, so that a build can archive the classes
 * that a daemon uses (class-data sharing). A start then takes half of the processor time.
 */
public final class RehearsalMain {

    private static final int ROUNDS = 5;
    private static final int MOST_QUESTIONS = 20_000;
    private static final long STOP_SECONDS = 10;

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
                platformLoop, new EventLoopTime(platformLoop.group().next()), PlatformStandInMain::fault)) {
            ForwardingDaemon daemon = new ForwardingDaemon(
                    settings(platform.storeAddress()), daemonLoop, RandomSource.XO_RO_SHI_RO_128_PP.create());
            daemon.start();
            waitUntilReady(daemon);
            for (int i = 0; i < ROUNDS; i++) {
                callAll(daemon, i);
            }
            daemon.stop().toCompletableFuture().get(STOP_SECONDS, TimeUnit.SECONDS);
        }
        System.exit(0);
    }

    private static void callAll(ForwardingDaemon daemon, int round) throws IOException {
        for (String path : new String[] {"/safe/a", "/once/a", "/stream/a", "/resume/a"}) {
            for (TargetFault fault : List.of(TargetFault.NONE, TargetFault.REJECTED, TargetFault.FAILED)) {
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

    private static ForwardingSettings settings(String storeAddress) {
        String json = "{\"instance\":{\"name\":\"rehearsal\",\"dataCentre\":\"dc-1\"},\"forwarding\":{"
                + "\"listen\":\"127.0.0.1:0\",\"readyListen\":\"127.0.0.1:0\",\"metricsListen\":\"127.0.0.1:0\"},"
                + "\"store\":{\"address\":\"" + storeAddress + "\"},\"peers\":{\"listen\":\"127.0.0.1:0\"},"
                + "\"stop\":{\"notReadyMillis\":0}}";
        return (ForwardingSettings) SettingsLoader.parse("rehearsal", json).match(loaded -> loaded, problems -> {
            throw new IllegalStateException(problems.toString());
        });
    }
}
