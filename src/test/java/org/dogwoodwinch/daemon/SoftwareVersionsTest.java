package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.settings.ForwardingSettings;
import org.dogwoodwinch.settings.SettingsLoader;
import org.dogwoodwinch.standin.platform.PlatformStandIn;
import org.dogwoodwinch.standin.platform.StandInRequest;
import org.dogwoodwinch.standin.platform.TargetFault;
import org.dogwoodwinch.standin.platform.TargetStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runs two daemons over real sockets in front of engines of several software versions. */
class SoftwareVersionsTest {

    private static final int MAX_ATTEMPTS = 20_000;
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
        ForwardingDaemon daemon =
                new ForwardingDaemon(createSettings(name), daemonLoop, RandomSource.XO_RO_SHI_RO_128_PP.create(5));
        daemon.start();
        boolean ready = false;
        for (int i = 0; i < MAX_ATTEMPTS && !ready; i++) {
            ready = exchange(daemon.readyPort(), "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    .startsWith("HTTP/1.1 200 ");
        }
        assertTrue(ready);
        return daemon;
    }

    @AfterEach
    void stop() {
        daemonLoop.eventLoopGroup().shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        platform.close();
        platformLoop.eventLoopGroup().shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    /** Breaks off each run that is not resumed, and each run that is asked for it. */
    private static TargetFault fault(StandInRequest request) {
        boolean breaksOff = request.header("x-fault").equals("always")
                || (request.header("x-fault").equals("first")
                        && request.header("last-event-id").isEmpty());
        return breaksOff ? TargetFault.UNFRAMED_CUT : TargetFault.NONE;
    }

    private ForwardingSettings createSettings(String name) {
        String json = "{\"instance\":{\"name\":\"" + name + "\",\"dataCentre\":\"dc-1\"},\"forwarding\":{"
                + "\"listen\":\"127.0.0.1:0\",\"readyListen\":\"127.0.0.1:0\",\"metricsListen\":\"127.0.0.1:0\"},"
                + "\"store\":{\"address\":\"" + platform.storeAddress() + "\"},"
                + "\"peers\":{\"listen\":\"127.0.0.1:0\"},\"retries\":{\"ratio\":4},"
                + "\"stop\":{\"notReadyMillis\":0,\"graceSeconds\":20}}";
        return SettingsLoader.parse("test", json)
                .match(loaded -> assertInstanceOf(ForwardingSettings.class, loaded), problems -> {
                    throw new AssertionError(problems);
                });
    }

    private static String exchange(int port, String request) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private static String sendStream(ForwardingDaemon daemon, String id, String headers) throws IOException {
        return exchange(
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
        int wholeCount = 0;
        for (int i = 0; i < STREAMS; i++) {
            String begin = sendStream(first, "b" + i, "X-Fault: always\r\n");
            assertTrue(begin.contains("id: 4\n") && !begin.endsWith("0\r\n\r\n"), begin);
            String rest = sendStream(second, "c" + i, "Last-Event-Id: 4\r\nResumes: b" + i + "\r\n");
            assertTrue(versionsIn(begin + rest).size() <= 1, begin + rest);
            wholeCount += rest.contains("id: 8\n") && rest.endsWith("0\r\n\r\n") ? 1 : 0;
        }
        assertEquals(STREAMS, wholeCount);
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
