package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.standin.platform.PlatformStandIn;
import org.dogwoodwinch.standin.platform.TargetFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Stops a daemon over real sockets whose target answers nothing before the process has to exit. */
class CallsAtEndOfProcessTest {

    private static final int CALLS_COUNT = 24;
    private static final int ACCEPT_TIMEOUT_MILLIS = 30_000;

    private final Transport platformLoop = Transport.start(1);
    private final Transport daemonLoop = Transport.start(1);
    private ServerSocket silentTarget;
    private final List<Socket> acceptedCalls = new ArrayList<>();
    private PlatformStandIn platform;

    @AfterEach
    void close() throws IOException {
        DaemonSockets.shutDown(daemonLoop);
        for (Socket accepted : acceptedCalls) {
            accepted.close();
        }
        silentTarget.close();
        platform.close();
        DaemonSockets.shutDown(platformLoop);
    }

    /** Failure: the process exits with calls under way, and their callers receive nothing. */
    @Test
    void everyCallerHasAnAnswerWhenTheProcessEnds() throws Exception {
        ForwardingDaemon daemon = startDaemonBeforeSilentTarget();
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < CALLS_COUNT; i++) {
            String path = i % 2 == 0 ? "/once/a" : "/safe/a";
            callers.add(DaemonSockets.open(daemon.port(), request(path, "c" + i)));
        }
        awaitCallsAtTarget();

        int cutCount = daemon.stop().toCompletableFuture().get(30, TimeUnit.SECONDS);
        DaemonSockets.shutDown(daemonLoop);

        List<String> statuses = new ArrayList<>();
        for (Socket caller : callers) {
            statuses.add(statusOf(caller));
        }
        assertEquals(0, statuses.stream().filter(String::isEmpty).count(), statuses.toString());
        assertEquals(CALLS_COUNT, cutCount);
        assertEquals(
                cutCount,
                statuses.stream().filter("HTTP/1.1 502 Bad Gateway"::equals).count(),
                statuses.toString());
    }

    private ForwardingDaemon startDaemonBeforeSilentTarget() throws Exception {
        platform = new PlatformStandIn(
                platformLoop, new EventLoopTime(platformLoop.eventLoopGroup().next()), _request -> TargetFault.NONE);
        silentTarget = new ServerSocket(0, CALLS_COUNT, InetAddress.getLoopbackAddress());
        silentTarget.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
        putTarget(
                "slow",
                "{\"service\":\"desk\",\"address\":\"127.0.0.1:" + silentTarget.getLocalPort()
                        + "\",\"zone\":\"dc-1\",\"version\":\"v1\",\"slots\":" + CALLS_COUNT
                        + ",\"state\":\"ready\"}");
        putTarget("i-p1", "");
        putTarget("i-p2", "");
        ForwardingDaemon daemon = new ForwardingDaemon(
                DaemonSockets.createSettings("n1", platform, "\"stop\":{\"notReadyMillis\":0,\"graceSeconds\":2}"),
                daemonLoop,
                RandomSource.XO_RO_SHI_RO_128_PP.create(5));
        daemon.start();
        assertTrue(DaemonSockets.awaitReady(daemon));
        return daemon;
    }

    private void putTarget(String id, String entry) throws Exception {
        platformLoop
                .eventLoopGroup()
                .next()
                .submit(() -> platform.store().put("keyed.servers", id, entry))
                .get(10, TimeUnit.SECONDS);
    }

    private void awaitCallsAtTarget() throws IOException {
        int receivedCount = 0;
        while (receivedCount < CALLS_COUNT) {
            Socket accepted = silentTarget.accept();
            acceptedCalls.add(accepted);
            // A connection without a request is a probe.
            receivedCount += accepted.getInputStream().read() >= 0 ? 1 : 0;
        }
    }

    private static String request(String path, String id) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + PlatformStandIn.HOST + "\r\nRequest-Id: " + id
                + "\r\nX-Api-Key: " + PlatformStandIn.KEY + "\r\nContent-Length: 5\r\n\r\nhello";
    }

    /** Returns the first line of the response; empty if the connection ended without a whole head. */
    private static String statusOf(Socket caller) throws IOException {
        try {
            String response = DaemonSockets.read(caller);
            return response.contains("\r\n\r\n") ? response.substring(0, response.indexOf("\r\n")) : "";
        } catch (SocketException e) {
            return "";
        }
    }
}
