package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.standin.platform.PlatformStandIn;
import org.dogwoodwinch.standin.platform.StandInRequest;
import org.dogwoodwinch.standin.platform.TargetFault;
import org.dogwoodwinch.standin.platform.TargetStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs two daemons over real sockets in front of engines of several software versions. */
class SoftwareVersionsTest {

    private static final String SETTINGS =
            "\"retries\":{\"ratio\":4},\"stop\":{\"notReadyMillis\":0,\"graceSeconds\":20}";
    private static final int STREAMS = 40;
    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: word\\d+( v\\S+)?\n\n");

    private final Transport platformLoop = Transport.start(1);
    private final Transport daemonLoop = Transport.start(1);
    private PlatformStandIn platform;
    private ForwardingDaemon first;
    private ForwardingDaemon second;

    @BeforeEach
    void start() throws IOException {
        platform = new PlatformStandIn(
                platformLoop, new EventLoopTime(platformLoop.eventLoopGroup().next()), SoftwareVersionsTest::fault);
        for (int i = 0; i < 3; i++) {
            platform.addEngine("i-x" + i, "v1.1", SoftwareVersionsTest::fault);
            platform.addEngine("i-y" + i, "v1.2", SoftwareVersionsTest::fault);
        }
        first = startDaemon("n1");
        second = startDaemon("n2");
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

    @AfterEach
    void stop() {
        DaemonSockets.shutDown(daemonLoop);
        platform.close();
        DaemonSockets.shutDown(platformLoop);
    }

    /** Breaks off each run that is not resumed, and each run that is asked for it. */
    private static TargetFault fault(StandInRequest request) {
        boolean breaksOff = request.header("x-fault").equals("always")
                || (request.header("x-fault").equals("first")
                        && request.header("last-event-id").isEmpty());
        return breaksOff ? TargetFault.UNFRAMED_CUT : TargetFault.NONE;
    }

    private static String sendStream(ForwardingDaemon daemon, String id, String headers) throws IOException {
        return DaemonSockets.exchange(
                daemon.port(),
                "POST /resume/a HTTP/1.1\r\nHost: " + PlatformStandIn.HOST + "\r\nRequest-Id: " + id + "\r\n" + headers
                        + "X-Api-Key: " + PlatformStandIn.KEY
                        + "\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello");
    }

    private static Set<String> versionsIn(String responses) {
        Set<String> versions = new TreeSet<>();
        Matcher events = EVENT.matcher(responses.replaceAll("\r\n[0-9a-f]+\r\n", ""));
        while (events.find()) {
            versions.add(
                    events.group(2) == null
                            ? TargetStandIn.FIRST_VERSION
                            : events.group(2).strip());
        }
        return versions;
    }

    /** Failure: a stream that breaks off goes on at a target of another software version. */
    @Test
    void streamGoesOnOnlyAtTheVersionThatBeganIt() throws IOException {
        int wholeCount = 0;
        for (int i = 0; i < STREAMS; i++) {
            String response = sendStream(first, "a" + i, "X-Fault: first\r\n");
            assertTrue(versionsIn(response).size() <= 1, response);
            wholeCount += response.contains("id: 8\n") && response.endsWith("0\r\n\r\n") ? 1 : 0;
        }
        assertEquals(STREAMS, wholeCount);
    }

    /** Failure: a caller takes its stream up at another instance, and gets events of another version. */
    @Test
    void callerTakesStreamUpAtAnotherInstanceOnlyAtTheVersionThatBeganIt() throws IOException {
        List<String> broken = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            String begin = sendStream(first, "b" + i, "X-Fault: always\r\n");
            assertTrue(begin.contains("id: 4\n") && !begin.endsWith("0\r\n\r\n"), begin);
            String rest = sendStream(second, "c" + i, "Last-Event-Id: 4\r\nResumes: b" + i + "\r\n");
            assertTrue(versionsIn(begin + rest).size() <= 1, begin + rest);
            if (!rest.contains("id: 8\n") || !rest.endsWith("0\r\n\r\n")) {
                broken.add("b" + i + ": " + rest);
            }
        }
        assertEquals(List.of(), broken);
    }

    /** Failure: a stream whose begin nobody knows goes on at any version. */
    @Test
    void streamOfUnknownBeginIsRefused() throws IOException {
        String named = sendStream(second, "d1", "Last-Event-Id: 4\r\nResumes: never-seen\r\n");
        String unnamed = sendStream(second, "d2", "Last-Event-Id: 4\r\n");

        assertTrue(named.startsWith("HTTP/1.1 503 "), named);
        assertTrue(unnamed.startsWith("HTTP/1.1 503 "), unnamed);
    }
}
