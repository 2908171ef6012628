package org.dogwoodwinch.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.standin.platform.PlatformStandIn;
import org.dogwoodwinch.standin.platform.TargetFault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs a daemon over real sockets in front of two sound targets and one that sends bytes that are no answer. */
class EndlessBytesOverSocketsTest {

    private static final int CALLS = 60;

    private static final String OTHERS_HEAD =
            "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final String UNSTAMPED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /** The limit of what is received beside an answer, and what the sockets' buffers hold. */
    private static final long MAX_BYTES_PER_CONNECTION = 3_000_000;

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

    /** Failure: one target that sends bytes without end takes the event loop, and calls to sound targets fail. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "|HTTP/1.1 100 Continue\r\n\r\n",
                "|\r\n",
                "|xxxxxxxxxxxxxxxx",
                OTHERS_HEAD + "|10\r\n0123456789abcdef\r\n",
                UNSTAMPED_HEAD + "|10\r\n0123456789abcdef\r\n",
            })
    void callersAreAnsweredBesideTargetThatSendsEndlessBytes(String endless) throws IOException {
        int split = endless.indexOf('|');
        EndlessTarget target = new EndlessTarget(endless.substring(0, split), endless.substring(split + 1));
        try (SocketTarget sockets = new SocketTarget(0, target)) {
            platformLoop
                    .eventLoopGroup()
                    .next()
                    .submit(() -> platform.store().put("keyed.servers", "i-p3", sockets.entry("desk")))
                    .syncUninterruptibly();
            ForwardingDaemon daemon = new ForwardingDaemon(
                    DaemonSockets.createSettings("n1", platform, "\"retries\":{\"ratio\":4}"),
                    daemonLoop,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(5));
            daemon.start();
            assertTrue(DaemonSockets.awaitReady(daemon));
            for (int i = 0; i < CALLS; i++) {
                String answer = DaemonSockets.exchange(
                        daemon.port(),
                        "GET /safe/a HTTP/1.1\r\nHost: " + PlatformStandIn.HOST + "\r\nRequest-Id: a" + i
                                + "\r\nX-Api-Key: " + PlatformStandIn.KEY + "\r\nConnection: close\r\n\r\n");
                assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
            }
            assertTrue(target.connectionsCount.get() > 0, "the target was never tried");
            assertTrue(
                    target.longestBytes.get() < MAX_BYTES_PER_CONNECTION, () -> target.longestBytes + " bytes taken");
        }
    }

    /** Sends the same bytes on each connection until the other side closes it. */
    private static final class EndlessTarget implements SocketTarget.Behaviour {

        private final byte[] head;
        private final byte[] pieces;
        private final AtomicLong connectionsCount = new AtomicLong();
        private final AtomicLong longestBytes = new AtomicLong();

        EndlessTarget(String head, String piece) {
            this.head = head.getBytes(StandardCharsets.ISO_8859_1);
            this.pieces = piece.repeat(4_096 / piece.length()).getBytes(StandardCharsets.ISO_8859_1);
        }

        @Override
        public void serve(Socket socket) throws IOException {
            long sent = 0;
            socket.setSendBufferSize(65_536);
            if (socket.getInputStream().read() < 0) {
                return;
            }
            connectionsCount.incrementAndGet();
            OutputStream output = socket.getOutputStream();
            output.write(head);
            while (true) {
                output.write(pieces);
                sent += pieces.length;
                longestBytes.accumulateAndGet(sent, Math::max);
            }
        }
    }
}
