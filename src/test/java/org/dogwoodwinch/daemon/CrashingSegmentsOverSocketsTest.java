package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.standin.platform.PlatformStandIn;
import org.dogwoodwinch.standin.platform.TargetFault;
import org.dogwoodwinch.standin.platform.TargetStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs two daemons over real sockets in front of engines that crash on one segment of prompts. */
class CrashingSegmentsOverSocketsTest {

    private static final String SETTINGS =
            "\"retries\":{\"ratio\":4},\"stop\":{\"notReadyMillis\":0,\"graceSeconds\":20}";
    private static final int MAX_ATTEMPTS = 20_000;
    private static final int BAD_CALLS = 16;
    private static final int SOUND_CALLS_BETWEEN = 24;

    /** Five crashes and three sends after them are what the platform's users allow over the whole fleet. */
    private static final int MAX_CRASHES = 8;

    private final Transport platformLoop = Transport.start(1);
    private Transport daemonLoop = Transport.start(1);
    private PlatformStandIn platform;
    private ForwardingDaemon first;
    private ForwardingDaemon second;
    private int callsCount;

    @BeforeEach
    void start() throws IOException {
        platform = new PlatformStandIn(
                platformLoop, new EventLoopTime(platformLoop.eventLoopGroup().next()), _request -> TargetFault.NONE);
        for (int i = 0; i < 9; i++) {
            platform.addEngine("i-x" + i, TargetStandIn.FIRST_VERSION, _request -> TargetFault.NONE);
        }
        first = startDaemon("n1");
        second = startDaemon("n2");
    }

    @AfterEach
    void stop() {
        DaemonSockets.shutDown(daemonLoop);
        platform.close();
        DaemonSockets.shutDown(platformLoop);
    }

    private ForwardingDaemon startDaemon(String name) throws IOException {
        ForwardingDaemon daemon = new ForwardingDaemon(
                DaemonSockets.createSettings(name, platform, SETTINGS),
                daemonLoop,
                RandomSource.XO_RO_SHI_RO_128_PP.create(5));
        daemon.start();
        assertTrue(DaemonSockets.awaitReady(daemon));
        return daemon;
    }

    private String send(ForwardingDaemon daemon, String sharedSegments) throws IOException {
        String id = "c" + callsCount++;
        String body = "body of " + id;
        return DaemonSockets.exchange(
                daemon.port(),
                "POST /stream/a HTTP/1.1\r\nHost: " + PlatformStandIn.HOST + "\r\nRequest-Id: " + id
                        + "\r\nModel: m\r\nToken-Count: 100,8\r\nPrompt-Prefix: " + sharedSegments + "," + id
                        + ":9\r\nX-Api-Key: " + PlatformStandIn.KEY + "\r\nConnection: close\r\nContent-Length: "
                        + body.length() + "\r\n\r\n" + body);
    }

    /** Guards against calls that share one segment and are otherwise never alike, and end target after target. */
    @Test
    void fleetSparesEnginesASegmentThatCrashesThemAndServesSoundCalls() throws IOException {
        platform.crashOn("bad");
        int soundCount = 0;
        int servedCount = 0;
        for (int i = 0; i < BAD_CALLS; i++) {
            send(i % 2 == 0 ? first : second, "f1:100,bad:50");
            for (int j = 0; j < SOUND_CALLS_BETWEEN; j++) {
                String response = send(j % 2 == 0 ? first : second, "f1:100");
                soundCount++;
                servedCount += response.endsWith("0\r\n\r\n") ? 1 : 0;
            }
        }
        assertTrue(platform.crashesCount() <= MAX_CRASHES, "crashes: " + platform.crashesCount());
        assertTrue(2 * servedCount >= soundCount, "served: " + servedCount + " of " + soundCount);
    }

    private static String operate(ForwardingDaemon daemon, String method, String path, String body) throws IOException {
        return DaemonSockets.exchange(
                daemon.metricsPort(),
                method + " " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body);
    }

    private String crashUntilHeldBack() throws IOException {
        String listed = "";
        for (int i = 0; i < MAX_ATTEMPTS && !listed.contains("\"segment\":\"bad\""); i++) {
            send(first, "f1:100,bad:50");
            listed = operate(first, "GET", "/quarantine/segments", "");
        }
        return listed;
    }

    /** Guards against a fleet that is killed at once and ends engines to find out again what it knew. */
    @Test
    void heldSegmentOutlastsAllInstances() throws IOException {
        platform.crashOn("bad");
        send(first, "f1:100");
        send(second, "f1:100");
        assertTrue(crashUntilHeldBack().contains("\"segment\":\"bad\""));
        boolean isRecorded = false;
        for (int i = 0; i < MAX_ATTEMPTS && !isRecorded; i++) {
            operate(first, "GET", "/quarantine/segments", "");
            isRecorded = platformLoop
                    .eventLoopGroup()
                    .next()
                    .submit(() -> platform.store().hasKeys(SegmentStore.TOPIC))
                    .syncUninterruptibly()
                    .getNow();
        }
        assertTrue(isRecorded);
        DaemonSockets.shutDown(daemonLoop);
        int crashesBefore = platform.crashesCount();

        daemonLoop = Transport.start(1);
        first = startDaemon("n1");
        String listed = "";
        for (int i = 0; i < MAX_ATTEMPTS && !listed.contains("\"segment\":\"bad\""); i++) {
            listed = operate(first, "GET", "/quarantine/segments", "");
        }

        assertTrue(send(first, "f1:100,bad:50").startsWith("HTTP/1.1 503 "));
        assertEquals(crashesBefore, platform.crashesCount());
    }

    @Test
    void operatorsListAndLiftASegmentThatIsHeldBack() throws IOException {
        platform.crashOn("bad");
        String listed = crashUntilHeldBack();
        assertTrue(listed.contains("{\"model\":\"m\",\"segment\":\"bad\",\"crashes\":"), listed);

        String lifted = operate(first, "POST", "/quarantine/segments/lift", "{\"model\":\"m\",\"segment\":\"bad\"}");

        assertTrue(lifted.endsWith("\"lifted\":true}"), lifted);
        assertFalse(operate(first, "GET", "/quarantine/segments", "").contains("\"segment\":\"bad\""));
    }
}
