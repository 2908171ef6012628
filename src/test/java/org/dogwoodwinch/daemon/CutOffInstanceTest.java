package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.standin.platform.PlatformStandIn;
import org.dogwoodwinch.standin.platform.TargetFault;
import org.dogwoodwinch.standin.platform.TargetStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Runs two daemons over real sockets, of which one loses its links to all targets. */
class CutOffInstanceTest {

    private static final String STOP_SETTINGS = "\"stop\":{\"notReadyMillis\":1000,\"graceSeconds\":20}";
    private static final int MAX_TAKE_OVER_CHECKS = 20_000;
    private static final int MAX_ATTEMPTS = 200;
    private static final int CALLS_AT_ONCE = 4;
    private static final String PROMPT = "Model: m\r\nToken-Count: 2000,8\r\nPrompt-Prefix: 5c:1500,91:500\r\n";

    private final Transport platformLoop = Transport.start(1);
    private final Transport cutLoop = Transport.start(1);
    private final Transport soundLoop = Transport.start(1);
    private final Transport thirdLoop = Transport.start(1);
    private PlatformStandIn platform;
    private CuttableLinks links;
    private ForwardingDaemon cut;
    private ForwardingDaemon sound;

    @BeforeEach
    void start() throws IOException {
        platform = new PlatformStandIn(
                platformLoop, new EventLoopTime(platformLoop.eventLoopGroup().next()), _request -> TargetFault.NONE);
        cut = new ForwardingDaemon(
                DaemonSockets.createSettings("n1", platform, STOP_SETTINGS),
                cutLoop,
                RandomSource.XO_RO_SHI_RO_128_PP.create(5),
                connector -> {
                    links = new CuttableLinks(connector);
                    return links;
                });
        sound = new ForwardingDaemon(
                DaemonSockets.createSettings("n2", platform, STOP_SETTINGS),
                soundLoop,
                RandomSource.XO_RO_SHI_RO_128_PP.create(6));
        cut.start();
        sound.start();
        assertTrue(DaemonSockets.awaitReady(cut) && DaemonSockets.awaitReady(sound));
    }

    @AfterEach
    void stop() {
        for (Transport loop : List.of(cutLoop, soundLoop, thirdLoop)) {
            DaemonSockets.shutDown(loop);
        }
        platform.close();
        DaemonSockets.shutDown(platformLoop);
    }

    private static String call(String path, String id, String headers) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + PlatformStandIn.HOST + "\r\nRequest-Id: " + id + "\r\n"
                + headers + "X-Api-Key: " + PlatformStandIn.KEY
                + "\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello";
    }

    private int countRuns(String id) {
        return platform.targets().stream()
                .map(TargetStandIn::runs)
                .mapToInt(runs -> runs.getOrDefault(id, 0))
                .sum();
    }

    /** Sends calls in parallel, whose caller waits shortly, until all of some are served. */
    private boolean awaitServed(String prefix) throws IOException {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            List<Socket> calls = new ArrayList<>();
            for (int j = 0; j < CALLS_AT_ONCE; j++) {
                String path = j % 2 == 0 ? "/once/a" : "/stream/a";
                calls.add(DaemonSockets.open(
                        cut.port(), call(path, prefix + i + "-" + j, PROMPT + "Deadline-Ms: 2000\r\n")));
            }
            int servedCount = 0;
            for (Socket waiting : calls) {
                servedCount += DaemonSockets.read(waiting).startsWith("HTTP/1.1 200 ") ? 1 : 0;
            }
            if (servedCount == CALLS_AT_ONCE) {
                return true;
            }
        }
        return false;
    }

    private boolean awaitTakesOver(ForwardingDaemon daemon) throws IOException {
        for (int i = 0; i < MAX_TAKE_OVER_CHECKS; i++) {
            DaemonSockets.exchange(cut.port(), call("/once/a", "third" + i, ""));
            String metrics = DaemonSockets.exchange(
                    daemon.metricsPort(), "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            if (!metrics.contains("dogwoodwinch_calls_taken_over_total 0.0")) {
                return true;
            }
        }
        return false;
    }

    /** Returns the body of a chunked response; an event may be split over two chunks. */
    private static String withoutChunks(String response) {
        StringBuilder body = new StringBuilder();
        int sizeBegin = response.indexOf("\r\n\r\n") + 4;
        int bytesCount = -1;
        while (bytesCount != 0) {
            int sizeEnd = response.indexOf("\r\n", sizeBegin);
            bytesCount = Integer.parseInt(response.substring(sizeBegin, sizeEnd), 16);
            body.append(response, sizeEnd + 2, sizeEnd + 2 + bytesCount);
            sizeBegin = sizeEnd + 2 + bytesCount + 2;
        }
        return body.toString();
    }

    /** Guards against callers that are refused, or wait, while only their instance is cut off from the targets. */
    @ParameterizedTest
    @EnumSource(
            value = CuttableLinks.Mode.class,
            names = {"SILENT", "RESET", "NEW_REFUSED"})
    void callersAreServedWhileTheirInstanceIsCutOff(CuttableLinks.Mode mode) throws IOException {
        assertTrue(awaitServed("before"));
        links.setMode(mode);
        assertTrue(awaitServed("during"));

        for (int i = 0; i < 20; i++) {
            assertTrue(DaemonSockets.exchange(cut.port(), call("/once/a", "once" + i, ""))
                    .endsWith("done once" + i));
            assertEquals(1, countRuns("once" + i));
            assertTrue(DaemonSockets.exchange(cut.port(), call("/safe/a", "safe" + i, ""))
                    .endsWith("done safe" + i));
            String stream = DaemonSockets.exchange(cut.port(), call("/stream/a", "stream" + i, PROMPT));
            assertTrue(stream.endsWith("\r\n0\r\n\r\n"), stream);
            assertTrue(withoutChunks(stream).endsWith("id: 8\ndata: word8\n\n"), stream);
            assertEquals(1, countRuns("stream" + i));
        }

        links.setMode(CuttableLinks.Mode.UP);
        assertTrue(awaitServed("after"));
    }

    /** Guards against calls that are lost with an instance that stops as planned while it has taken them over. */
    @Test
    void callsAreServedWhileTheInstanceThatTakesThemOverStops() throws Exception {
        ForwardingDaemon third = new ForwardingDaemon(
                DaemonSockets.createSettings("n3", platform, STOP_SETTINGS),
                thirdLoop,
                RandomSource.XO_RO_SHI_RO_128_PP.create(7));
        links.setMode(CuttableLinks.Mode.RESET);
        assertTrue(awaitServed("during"));
        third.start();
        assertTrue(DaemonSockets.awaitReady(third) && awaitTakesOver(third));

        CompletableFuture<Integer> stopped = sound.stop().toCompletableFuture();
        int callsCount = 0;
        while (!stopped.isDone() && callsCount < MAX_ATTEMPTS) {
            String id = "stop" + callsCount++;
            String response = DaemonSockets.exchange(cut.port(), call("/once/a", id, ""));
            assertTrue(response.endsWith("done " + id), response);
            assertEquals(1, countRuns(id));
        }

        assertEquals(0, stopped.get(20, TimeUnit.SECONDS));
        assertTrue(awaitServed("after"));
    }
}
