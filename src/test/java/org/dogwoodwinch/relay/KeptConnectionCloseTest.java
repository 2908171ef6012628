package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Closes of kept connections over sockets, where a request may arrive while the event loop is busy. */
class KeptConnectionCloseTest {

    private static final int CONNECTIONS_COUNT = 8;
    private static final long LONG_QUIET_MILLIS = 10_000;
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final Transport transport = Transport.start(1);
    private final EventLoop loop = transport.eventLoopGroup().next();
    private final ShiftedTime time = new ShiftedTime(new EventLoopTime(loop));
    private final FakeRequestHandler handler = new FakeRequestHandler();
    private final CallerListener listener = new CallerListener(transport, handler, time);
    private final List<Socket> callers = new ArrayList<>();

    @BeforeEach
    void connect() throws Exception {
        listener.bind(ANY_PORT);
        for (int i = 0; i < CONNECTIONS_COUNT; i++) {
            Socket caller = new Socket(InetAddress.getLoopbackAddress(), listener.port());
            callers.add(caller);
            exchange(caller);
        }
        awaitReads();
    }

    @AfterEach
    void close() throws Exception {
        for (Socket caller : callers) {
            caller.close();
        }
        transport.eventLoopGroup().shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    @Test
    void requestThatArrivedBeforeCloseOfIdleConnectionsIsAnswered() throws Exception {
        time.shiftMillis.addAndGet(LONG_QUIET_MILLIS);
        beginStop();
        CountDownLatch busy = new CountDownLatch(1);
        loop.execute(() -> await(busy));
        for (Socket caller : callers) {
            send(caller, request());
        }
        loop.execute(listener::closeIdle);
        busy.countDown();

        int answeredCount = 0;
        for (Socket caller : callers) {
            answeredCount += readToEnd(caller).startsWith("HTTP/1.1 503 ") ? 1 : 0;
        }
        assertEquals(CONNECTIONS_COUNT, answeredCount);
    }

    @Test
    void firstRequestOnItsWayIsAwaitedOnNewConnectionAtStop() throws Exception {
        beginStop();
        loop.submit(listener::closeIdle).sync();
        awaitReads();

        for (Socket caller : callers) {
            send(caller, request());
            assertTrue(readToEnd(caller).startsWith("HTTP/1.1 503 "));
        }
    }

    @Test
    void quietConnectionIsClosedAtStop() throws Exception {
        time.shiftMillis.addAndGet(LONG_QUIET_MILLIS);
        beginStop();
        loop.submit(listener::closeIdle).sync();

        for (Socket caller : callers) {
            assertEquals("", readToEnd(caller));
        }
    }

    @Test
    void callUnderWayIsAnsweredWhenAllConnectionsClose() throws Exception {
        handler.behaviour = (_call, _caller, _onDone) -> ActiveCall.NONE;
        for (Socket caller : callers) {
            send(caller, request());
        }
        awaitReads();
        loop.submit(listener::closeAll).sync();

        for (Socket caller : callers) {
            assertTrue(readToEnd(caller).startsWith("HTTP/1.1 502 "));
        }
        for (Socket caller : callers) {
            caller.close();
        }
        awaitReads();
        assertEquals(0, loop.submit(listener::connectionsCount).get());
    }

    /** Failure: the caller sees that its request was read, and gets no answer. */
    @Test
    void requestThatArrivesAfterCloseIsNotReadWhole() throws Exception {
        AtomicInteger readBytesCount = new AtomicInteger();
        List<CallerConnection> accepted = new ArrayList<>();
        Channel server = acceptCounting(accepted, readBytesCount);
        try (Socket caller =
                new Socket(InetAddress.getLoopbackAddress(), ((InetSocketAddress) server.localAddress()).getPort())) {
            exchange(caller);
            readBytesCount.set(0);
            loop.submit(() -> accepted.get(0).close()).sync();
            assertEquals(-1, caller.getInputStream().read());

            send(caller, request());
            awaitReads();

            assertTrue(readBytesCount.get() <= 1, "bytes read: " + readBytesCount);
        }
    }

    private Channel acceptCounting(List<CallerConnection> accepted, AtomicInteger readBytesCount) {
        return new ServerBootstrap()
                .group(transport.eventLoopGroup())
                .channel(transport.serverChannelClass())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted.add(CallerPipeline.install(channel, handler, time));
                        channel.pipeline().addFirst(new ReadCounter(readBytesCount));
                    }
                })
                .bind(ANY_PORT)
                .syncUninterruptibly()
                .channel();
    }

    private void beginStop() {
        handler.draining = true;
        handler.behaviour =
                (_call, caller, onDone) -> FakeRequestHandler.answer(LocalResponses.UNAVAILABLE, caller, onDone);
    }

    /** Waits until the event loop has looked for received bytes after everything that was sent before. */
    private void awaitReads() throws Exception {
        for (int i = 0; i < 3; i++) {
            loop.schedule(() -> {}, 1, TimeUnit.MILLISECONDS).sync();
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IllegalStateException("interrupted", e);
        }
    }

    private static String request() {
        return RelayFixture.getRequest("/once/a", "a1");
    }

    private static void exchange(Socket caller) throws IOException {
        send(caller, request());
        StringBuilder received = new StringBuilder();
        while (received.indexOf("\r\n\r\nanswer") < 0) {
            int next = caller.getInputStream().read();
            assertTrue(next >= 0, received.toString());
            received.append((char) next);
        }
    }

    private static void send(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static String readToEnd(Socket caller) throws IOException {
        return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    /** Counts the bytes that are read from a connection. */
    private static final class ReadCounter extends ChannelInboundHandlerAdapter {
        private final AtomicInteger bytesCount;

        ReadCounter(AtomicInteger bytesCount) {
            this.bytesCount = bytesCount;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            bytesCount.addAndGet(((ByteBuf) message).readableBytes());
            context.fireChannelRead(message);
        }
    }

    /** Timers of an event loop, and a clock that stands still until a test sets it forward. */
    private static final class ShiftedTime implements TimeSource {
        private final TimeSource real;
        final AtomicLong shiftMillis = new AtomicLong();

        ShiftedTime(TimeSource real) {
            this.real = real;
        }

        @Override
        public long monotonicNanos() {
            return TimeUnit.MILLISECONDS.toNanos(shiftMillis.get());
        }

        @Override
        public long wallMillis() {
            return real.wallMillis();
        }

        @Override
        public Cancellable schedule(long delayMillis, Runnable task) {
            return real.schedule(delayMillis, task);
        }
    }
}
