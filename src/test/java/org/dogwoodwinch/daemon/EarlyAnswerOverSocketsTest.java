package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.standin.platform.PlatformStandIn;
import org.dogwoodwinch.standin.platform.TargetFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A target that answers a long upload without a length while it is still being written, and resets the connection. */
class EarlyAnswerOverSocketsTest {

    private static final int CALLS = 24;
    private static final int RECEIVE_BUFFER_BYTES = 8_192;

    private final Transport platformLoop = Transport.start(1);
    private final Transport daemonLoop = Transport.start(1);
    private PlatformStandIn platform;

    @BeforeEach
    void start() throws IOException {
        platform = new PlatformStandIn(
                platformLoop, new EventLoopTime(platformLoop.eventLoopGroup().next()), _request -> TargetFault.NONE);
    }

    @AfterEach
    void stop() {
        DaemonSockets.shutDown(daemonLoop);
        platform.close();
        DaemonSockets.shutDown(platformLoop);
    }

    private void add(SocketTarget target) {
        platformLoop
                .eventLoopGroup()
                .next()
                .submit(() -> {
                    platform.store().put("keyed.servers", "i-early-plain", target.entry("desk"));
                    platform.store().put("keyed.servers", "i-early-model", target.entry("reader"));
                })
                .syncUninterruptibly();
    }

    private static String request(String path, String version, String id, int bodyBytes) {
        return "POST " + path + " " + version + "\r\nHost: " + PlatformStandIn.HOST + "\r\nRequest-Id: " + id
                + "\r\nX-Api-Key: " + PlatformStandIn.KEY + "\r\nConnection: close\r\nContent-Length: " + bodyBytes
                + "\r\n\r\n" + "u".repeat(bodyBytes);
    }

    /** Returns what the caller gets; empty if its connection is reset, which shows that the answer is not whole. */
    private static String answerTo(int port, String request) {
        try {
            return DaemonSockets.exchange(port, request);
        } catch (IOException e) {
            return "";
        }
    }

    /** Failure: the part that came before the reset reaches the caller as a complete answer. */
    @ParameterizedTest
    @CsvSource({
        "/once/a, HTTP/1.1, 100, 0, 100",
        "/once/a, HTTP/1.1, 2000000, 0, 100",
        "/once/a, HTTP/1.1, 4000000, 200000, 100",
        "/once/a, HTTP/1.1, 4000000, 0, 200000",
        "/once/a, HTTP/1.0, 4000000, 0, 100",
        "/once/a, HTTP/1.0, 4000000, 0, 200000",
        "/safe/a, HTTP/1.1, 4000000, 0, 100",
        "/stream/a, HTTP/1.1, 4000000, 0, 150",
        "/stream/a, HTTP/1.0, 4000000, 0, 150",
        "/resume/a, HTTP/1.1, 2000000, 100000, 150",
    })
    void earlyAnswerThatIsResetNeverLooksComplete(
            String path, String version, int bodyBytes, int readBytes, int partBytes) throws IOException {
        EarlyTarget target = new EarlyTarget(readBytes, partBytes);
        try (SocketTarget sockets = new SocketTarget(RECEIVE_BUFFER_BYTES, target)) {
            add(sockets);
            ForwardingDaemon daemon = new ForwardingDaemon(
                    DaemonSockets.createSettings("n1", platform, "\"retries\":{\"ratio\":4}"),
                    daemonLoop,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(5));
            daemon.start();
            assertTrue(DaemonSockets.awaitReady(daemon));
            for (int i = 0; i < CALLS; i++) {
                String answer = answerTo(daemon.port(), request(path, version, "a" + i, bodyBytes));
                // A sound target may go on with a stream, up to its last event.
                boolean isEarly = answer.startsWith("HTTP/1.1 200 ")
                        && answer.contains("data: part")
                        && !answer.contains("data: word8");
                boolean looksComplete = version.equals("HTTP/1.0")
                        || answer.contains("content-length: ")
                        || answer.endsWith("\r\n0\r\n\r\n");
                assertFalse(isEarly && looksComplete, () -> answer.substring(0, Math.min(answer.length(), 300)));
            }
            assertTrue(target.answersCount.get() > 0, "the target was never asked");
        }
    }

    /** Answers each request with the beginning of an answer as soon as it has read a part of it, and resets. */
    private static final class EarlyTarget implements SocketTarget.Behaviour {

        private final AtomicInteger answersCount = new AtomicInteger();
        private final int readBytes;
        private final int partBytes;

        EarlyTarget(int readBytes, int partBytes) {
            this.readBytes = readBytes;
            this.partBytes = partBytes;
        }

        @Override
        public void serve(Socket socket) throws IOException {
            InputStream input = socket.getInputStream();
            String head = readHead(input);
            input.readNBytes(readBytes);
            String id = head.replaceAll("(?is).*\r\nrequest-id: ([^\r]*)\r\n.*", "$1");
            String event = "id: 1\ndata: part\n\n";
            String answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s-" + id + "\r\n\r\n"
                    + event.repeat(partBytes / event.length());
            OutputStream output = socket.getOutputStream();
            output.write(answer.getBytes(StandardCharsets.ISO_8859_1));
            output.flush();
            answersCount.incrementAndGet();
            // The close resets the connection.
            socket.setSoLinger(true, 0);
        }

        private static String readHead(InputStream input) throws IOException {
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                int next = input.read();
                if (next < 0) {
                    throw new IOException("connection closed");
                }
                head.append((char) next);
            }
            return head.toString();
        }
    }
}
