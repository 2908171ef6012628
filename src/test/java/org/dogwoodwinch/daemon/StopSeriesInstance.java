package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.standin.platform.PlatformStandIn;

/** An instance that is started again each time it has stopped. One thread starts and stops it; any thread may ask. */
final class StopSeriesInstance {

    /** Ends the test where a stop never ends; well above the grace period. */
    private static final long MAX_STOP_SECONDS = 20;

    private static final String SETTINGS =
            "\"stop\":{\"notReadyMillis\":300,\"graceSeconds\":4},\"retries\":{\"ratio\":%d}";

    private final String name;
    private final PlatformStandIn platform;
    private final long seed;
    private final boolean hasLinks;
    private final Set<String> killed = new ConcurrentSkipListSet<>();
    private Transport transport;
    private ForwardingDaemon daemon;
    private CuttableLinks links;
    private int reloadsCount;
    private volatile Life life = new Life("", 0, false);

    /** One start, as callers see it. */
    record Life(String instance, int port, boolean isOpen) {

        private Life closed() {
            return new Life(instance, port, false);
        }
    }

    /**
     * Starts an instance.
     *
     * @param name its name, not null
     * @param platform its platform, not null
     * @param seed draws its random numbers
     * @param hasLinks whether it reaches the targets; without links to them it passes its calls on to neighbours
     */
    StopSeriesInstance(String name, PlatformStandIn platform, long seed, boolean hasLinks) throws IOException {
        this.name = name;
        this.platform = platform;
        this.seed = seed;
        this.hasLinks = hasLinks;
        start(0);
    }

    private void start(int number) throws IOException {
        transport = Transport.start(1);
        daemon = new ForwardingDaemon(
                DaemonSockets.createSettings(name, platform, SETTINGS.formatted(4)),
                transport,
                RandomSource.XO_RO_SHI_RO_128_PP.create(seed + number),
                connector -> {
                    links = new CuttableLinks(connector);
                    return links;
                });
        if (!hasLinks) {
            links.setMode(CuttableLinks.Mode.RESET);
        }
        daemon.start();
        assertTrue(DaemonSockets.awaitReady(daemon));
        life = new Life(name + "." + number, daemon.port(), true);
    }

    Life life() {
        return life;
    }

    /** Applies changed settings, as after SIGHUP. */
    void reload() {
        reloadsCount++;
        daemon.reload(DaemonSockets.createSettings(name, platform, SETTINGS.formatted(4 + reloadsCount % 2)));
    }

    /** Stops as after SIGTERM, applies changed settings meanwhile, ends the process, and starts it again. */
    void stopAndStart(int number, boolean reloads) throws InterruptedException, IOException {
        life = life.closed();
        CompletableFuture<Integer> stopped = daemon.stop().toCompletableFuture();
        if (reloads) {
            reload();
        }
        try {
            stopped.get(MAX_STOP_SECONDS, TimeUnit.SECONDS);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the stop of " + name + " did not end", e);
        }
        DaemonSockets.shutDown(transport);
        start(number);
    }

    /** Ends the process without a stop, and starts it again. */
    void killAndStart(int number) throws IOException {
        killed.add(life.instance());
        life = life.closed();
        DaemonSockets.shutDown(transport);
        start(number);
    }

    /** Returns whether a start ended without a stop. */
    boolean wasKilled(String instance) {
        return killed.contains(instance);
    }

    void close() {
        DaemonSockets.shutDown(transport);
    }
}
