package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.scaling.EngineKind;
import org.dogwoodwinch.scaling.EnginePool;
import org.dogwoodwinch.scaling.ScaleObservation;
import org.dogwoodwinch.scaling.ScalePlan;
import org.dogwoodwinch.scaling.ScalingLimits;
import org.dogwoodwinch.settings.ForwardingSettings;
import org.dogwoodwinch.standin.platform.PlatformStandIn;
import org.dogwoodwinch.standin.platform.StandInRequest;
import org.dogwoodwinch.standin.platform.StoreStandIn;
import org.dogwoodwinch.standin.platform.TargetFault;
import org.dogwoodwinch.standin.platform.TargetStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs the whole daemon over real sockets, in front of stand-ins that use the platform's protocol. */
class ForwardingDaemonTest {

    private static final String FAULT_HEADER = "x-fault";
    private static final int MAX_ATTEMPTS = 20_000;

    private final Transport platformLoop = Transport.start(1);
    private final Transport daemonLoop = Transport.start(1);
    private PlatformStandIn platform;
    private ForwardingDaemon daemon;

    @BeforeEach
    void start() throws IOException {
        platform = new PlatformStandIn(
                platformLoop, new EventLoopTime(platformLoop.eventLoopGroup().next()), ForwardingDaemonTest::fault);
        daemon = new ForwardingDaemon(
                createSettings(),
                daemonLoop,
                RandomSource.XO_RO_SHI_RO_128_PP.create(5),
                UnaryOperator.identity(),
                _rates -> ForwardingDaemonTest::planMaxCount);
        daemon.start();
        assertTrue(DaemonSockets.awaitReady(daemon));
    }

    @AfterEach
    void stop() {
        DaemonSockets.shutDown(daemonLoop);
        platform.close();
        DaemonSockets.shutDown(platformLoop);
    }

    private static Optional<ScalePlan> planMaxCount(ScaleObservation observed, ScalingLimits limits, long _nowMillis) {
        String dataCentre = observed.ready().get(0).dataCentre();
        return Optional.of(new ScalePlan(Map.of(new EnginePool(dataCentre, EngineKind.SPOT), limits.maxCount())));
    }

    private static TargetFault fault(StandInRequest request) {
        String faultName = request.header(FAULT_HEADER);
        return faultName.isEmpty() ? TargetFault.NONE : TargetFault.valueOf(faultName);
    }

    private ForwardingSettings createSettings() {
        return DaemonSockets.createSettings(
                "n1",
                platform,
                "\"duties\":{\"address\":\"" + platform.storeAddress()
                        + "\",\"assigned\":\"autoscale,usage_report\",\"usageWindowSeconds\":0.2,"
                        + "\"usageDueSeconds\":1},\"promises\":{\"holdersApartMillis\":100},\"stop\":{\"notReadyMillis\":0,\"graceSeconds\":20}");
    }

    private String sendCall(String path, String id, String headers) throws IOException {
        return sendCallWithKey(path, id, headers, PlatformStandIn.KEY);
    }

    private String sendCallWithKey(String path, String id, String headers, String key) throws IOException {
        return DaemonSockets.exchange(
                daemon.port(),
                "POST " + path + " HTTP/1.1\r\nHost: " + PlatformStandIn.HOST + "\r\nRequest-Id: " + id + "\r\n"
                        + headers + "X-Api-Key: " + key + "\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello");
    }

    private static String fault(TargetFault fault) {
        return FAULT_HEADER + ": " + fault.name() + "\r\n";
    }

    private int countRuns(String id) {
        return platform.targets().stream()
                .map(TargetStandIn::runs)
                .mapToInt(runs -> runs.getOrDefault(id, 0))
                .sum();
    }

    @Test
    void eachRouteKindIsServed() throws IOException {
        assertTrue(sendCall("/safe/a", "a1", "").endsWith("done a1"));
        assertTrue(sendCall("/once/a", "b2", "").endsWith("done b2"));
        for (String path : new String[] {"/stream/a", "/resume/a"}) {
            String id = "c" + path.charAt(1);
            String response =
                    sendCall(path, id, "Model: m\r\nToken-Count: 2000,8\r\nPrompt-Prefix: 5c:1500,91:500\r\n");
            assertTrue(response.startsWith("HTTP/1.1 200 "), response);
            assertTrue(response.contains("id: 8\ndata: word8\n\n") && response.endsWith("0\r\n\r\n"), response);
            assertEquals(1, countRuns(id));
        }
        assertTrue(sendCall("/nowhere/", "d4", "").startsWith("HTTP/1.1 404 "));
    }

    /** Failure: a target receives the key, or the call of a revoked key still runs. */
    @Test
    void targetReceivesOwnerInsteadOfKeyUntilKeyIsRevoked() throws IOException {
        assertTrue(sendCall("/once/a", "k1", "Tenant: other\r\n").endsWith("done k1"));
        assertEquals(
                List.of(PlatformStandIn.OWNER),
                platform.targets().stream()
                        .flatMap(target -> target.ownersServed().stream())
                        .toList());
        assertTrue(platform.targets().stream().noneMatch(TargetStandIn::hasReceivedKey));
        assertTrue(sendCallWithKey("/once/a", "k2", "", "nobodys").startsWith("HTTP/1.1 401 "));

        platformLoop.eventLoopGroup().next().execute(() -> platform.configure(2, List.of("stand-in-key-2")));
        boolean revoked = false;
        for (int i = 0; i < MAX_ATTEMPTS && !revoked; i++) {
            revoked = sendCall("/once/a", "r" + i, "").startsWith("HTTP/1.1 401 ");
        }
        assertTrue(revoked);
        assertTrue(sendCallWithKey("/once/a", "k3", "", "stand-in-key-2").endsWith("done k3"));
    }

    @Test
    void usageOfOwnerIsReportedToPlatform() throws IOException {
        int servedCount = 0;
        for (int i = 0; i < MAX_ATTEMPTS && platform.store().usageReports().isEmpty(); i++) {
            servedCount += sendCall("/once/a", "u" + i, "").endsWith("done u" + i) ? 1 : 0;
        }
        String report = platform.store().usageReports().get(0);

        assertTrue(servedCount > 0);
        assertTrue(report.matches("\\{\"windowId\":\\d+,\"counts\":\\{\"owner-1\":\\d+}}"), report);
    }

    @Test
    void enginesOfScaledServiceAreOrderedAtPlatform() throws IOException {
        platformLoop.eventLoopGroup().next().execute(() -> platform.configureScaling(2, 7));
        for (int i = 0; i < MAX_ATTEMPTS && platform.store().scaleOrders().isEmpty(); i++) {
            sendCall("/once/a", "v" + i, "");
        }

        assertEquals(
                List.of("n1 {\"service\":\"reader\",\"zone\":\"dc-1\",\"desired\":7,\"spot\":true}"),
                platform.store().scaleOrders());
    }

    /**
     * Targets lose, corrupt, truncate or fail responses. An unsafe call runs at most once and is reported as not run
     * only if it did not run.
     */
    @Test
    void unsafeCallRunsAtMostOnceUnderTargetFaults() throws IOException {
        for (TargetFault fault : TargetFault.values()) {
            String id = "f-" + fault.name();
            String response = sendCall("/once/a", id, fault(fault));
            assertTrue(countRuns(id) <= 1, fault.name());
            boolean reportedNotRun = response.startsWith("HTTP/1.1 503 ") || response.startsWith("HTTP/1.1 429 ");
            assertEquals(fault == TargetFault.REJECTED, reportedNotRun, response);
            boolean success =
                    fault == TargetFault.NONE || fault == TargetFault.EXTRA_ANSWER || fault == TargetFault.UNFRAMED;
            assertEquals(success, response.startsWith("HTTP/1.1 200 "), response);
        }
    }

    /** Failure: a target breaks off a stream that ends with its connection, and the caller gets a complete one. */
    @Test
    void brokenOffStreamLooksCompleteToNoCaller() throws IOException {
        for (TargetFault fault : List.of(TargetFault.CUT, TargetFault.UNFRAMED_CUT)) {
            String response = sendCall("/stream/a", "s-" + fault, fault(fault));
            assertTrue(response.startsWith("HTTP/1.1 200 ") && response.contains("id: 4\n"), response);
            assertTrue(!response.endsWith("0\r\n\r\n"), response);
            assertEquals(1, countRuns("s-" + fault));
        }
        String whole = sendCall("/stream/a", "s-whole", fault(TargetFault.UNFRAMED));
        assertTrue(whole.contains("id: 8\ndata: word8\n\n") && whole.endsWith("0\r\n\r\n"), whole);
    }

    /** Failure: a caller of HTTP/1.0, to whom the end of the connection is the end of the answer, sees an orderly end. */
    @Test
    void callerWithoutChunksSeesBrokenOffStreamReset() throws IOException {
        String request = "POST /stream/a HTTP/1.0\r\nHost: " + PlatformStandIn.HOST + "\r\nRequest-Id: h-%s\r\n%s"
                + "X-Api-Key: " + PlatformStandIn.KEY + "\r\nContent-Length: 5\r\n\r\nhello";

        assertThrows(
                SocketException.class,
                () -> DaemonSockets.exchange(daemon.port(), request.formatted("cut", fault(TargetFault.UNFRAMED_CUT))));
        String whole = DaemonSockets.exchange(daemon.port(), request.formatted("whole", ""));
        assertTrue(whole.endsWith("id: 8\ndata: word8\n\n"), whole);
    }

    /** Failure: the answers of a target say that it leaves, its entry does not, and it goes on to get calls. */
    @Test
    void targetThatAnswersThatItLeavesGetsNoCallWhileItsEntryIsReady() throws Exception {
        TargetStandIn leaving = platform.targets().get(5);
        runOnPlatform(leaving::leave);
        for (int i = 0; i < MAX_ATTEMPTS && leaving.callsCount() == 0; i++) {
            assertTrue(sendCall("/once/a", "l" + i, "").endsWith("done l" + i));
        }
        assertEquals(1, leaving.callsCount());

        for (int i = 0; i < 30; i++) {
            assertTrue(sendCall("/once/a", "m" + i, "").endsWith("done m" + i));
        }
        assertEquals(1, leaving.callsCount());
    }

    /** Failure: a target asks for a rest, and the instance sends it calls that it turns away until no retry is left. */
    @Test
    void targetThatAsksForRestGetsNoCallInIt() throws Exception {
        TargetStandIn resting = platform.targets().get(6);
        runOnPlatform(() -> resting.askForRest("300"));
        for (int i = 0; i < MAX_ATTEMPTS && resting.callsCount() == 0; i++) {
            sendCall("/once/a", "l" + i, "");
        }
        assertEquals(1, resting.callsCount());

        for (int i = 0; i < 30; i++) {
            assertTrue(sendCall("/once/a", "m" + i, "").endsWith("done m" + i));
        }
        assertEquals(1, resting.callsCount());
    }

    /** Failure: after a copy, records at offsets that were read before the copy are never read. */
    @Test
    void configurationAtOffsetGivenOutAgainTakesEffect() throws Exception {
        StoreStandIn store = platform.store();
        AtomicReference<StoreStandIn.Copy> copy = new AtomicReference<>();
        runOnPlatform(() -> {
            copy.set(store.copy());
            platform.configure(4);
            platform.configure(5, List.of("stand-in-key-2"));
        });
        assertTrue(awaitAccepted("stand-in-key-2", "c"));

        runOnPlatform(() -> {
            store.comeBackFrom(copy.get());
            platform.configure(5, List.of("stand-in-key-2"));
            platform.configure(6, List.of("stand-in-key-3"));
        });

        assertTrue(awaitAccepted("stand-in-key-3", "d"), "the configuration after the copy is not in force");
        assertTrue(sendCallWithKey("/once/a", "e1", "", "stand-in-key-2").startsWith("HTTP/1.1 401 "));
    }

    private boolean awaitAccepted(String key, String idPrefix) throws IOException {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            if (sendCallWithKey("/once/a", idPrefix + i, "", key).endsWith("done " + idPrefix + i)) {
                return true;
            }
        }
        return false;
    }

    private void runOnPlatform(Runnable action) throws Exception {
        platformLoop.eventLoopGroup().next().submit(action).get(10, TimeUnit.SECONDS);
    }

    /**
     * When the store stops responding after the start, calls are served from the configuration and targets read before.
     */
    @Test
    void callsAreServedWhileStoreIsSilent() throws Exception {
        CompletableFuture<Void> storeSilenced = new CompletableFuture<>();
        platformLoop.eventLoopGroup().next().execute(() -> {
            platform.store().mode(StoreStandIn.Mode.SILENT);
            storeSilenced.complete(null);
        });
        storeSilenced.get(10, TimeUnit.SECONDS);

        for (int i = 0; i < 20; i++) {
            assertTrue(sendCall("/once/a", "o" + i, "").endsWith("done o" + i));
        }
    }

    /**
     * A planned stop must not truncate a running stream: the stream completes while the instance reports that it is not
     * ready.
     */
    @Test
    void plannedStopCompletesRunningStream() throws Exception {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), daemon.port())) {
            socket.getOutputStream()
                    .write(("GET /stream/a HTTP/1.1\r\nHost: " + PlatformStandIn.HOST
                                    + "\r\nRequest-Id: s2\r\nX-Api-Key: " + PlatformStandIn.KEY + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
            byte[] firstBytes = socket.getInputStream().readNBytes(20);
            CompletableFuture<Integer> exitCode = daemon.stop().toCompletableFuture();

            String remainder = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);

            assertTrue(new String(firstBytes, StandardCharsets.ISO_8859_1).startsWith("HTTP/1.1 200 "));
            assertTrue(remainder.endsWith("0\r\n\r\n"), remainder);
            assertEquals(0, exitCode.get(30, TimeUnit.SECONDS));
        }
        assertTrue(DaemonSockets.exchange(
                        daemon.readyPort(), "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .startsWith("HTTP/1.1 503 "));
    }

    @Test
    void newConfigurationTakesEffect() throws Exception {
        String firstResponse = sendCall("/safe/a", "v1", "").toLowerCase(Locale.ROOT);
        assertTrue(firstResponse.contains("server-stamp"), firstResponse);
        platformLoop
                .eventLoopGroup()
                .next()
                .execute(() -> platform.store()
                        .put("keyed.op", "config", "{\"version\":9,\"routes\":[],\"services\":[],\"limits\":{}}"));
        String response = "";
        for (int i = 0; i < MAX_ATTEMPTS && !response.startsWith("HTTP/1.1 404 "); i++) {
            response = sendCall("/safe/a", "w" + i, "");
        }
        assertTrue(response.startsWith("HTTP/1.1 404 "), response);
        platformLoop.eventLoopGroup().next().execute(() -> platform.configure(3));
        assertTrue(
                sendCall("/safe/a", "x1", "").startsWith("HTTP/1.1 404 "),
                "an older configuration version must not replace a newer one");
    }
}
