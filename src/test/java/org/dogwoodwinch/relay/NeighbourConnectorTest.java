package org.dogwoodwinch.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.peer.NettyPeerTransport;
import org.dogwoodwinch.peer.PeerMember;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class NeighbourConnectorTest {

    private static final int MAX_MESSAGE_BYTES = 1_048_576;

    private final Transport loop = Transport.start(1);
    private final NettyPeerTransport peer =
            new NettyPeerTransport(loop, MAX_MESSAGE_BYTES, Optional.empty(), Optional.empty());
    private final List<Bytes> messages = new ArrayList<>();
    private final CompletableFuture<Integer> firstMessageBytes = new CompletableFuture<>();
    private final CompletableFuture<Boolean> opened = new CompletableFuture<>();
    private final CompletableFuture<String> answer = new CompletableFuture<>();

    @AfterEach
    void stop() {
        peer.close();
        loop.eventLoopGroup().shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private int listen() {
        return peer.listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                message -> {
                    messages.add(message);
                    firstMessageBytes.complete(message.length());
                    return true;
                },
                _member -> {});
    }

    private void connect(int port) {
        Incarnation neighbour = new Incarnation("n2", "", "127.0.0.1", port, "dc-1", 1, false, Stage.WHOLE, 0);
        new NeighbourConnector(loop, new EventLoopTime(loop.eventLoopGroup().next()))
                .connect(neighbour, new AnswerReader(), new TargetConnector.Outcome() {
                    @Override
                    public void connected() {
                        opened.complete(true);
                    }

                    @Override
                    public void failed() {
                        opened.complete(false);
                    }
                });
    }

    /** Guards against instances that cannot open connections for calls to each other. */
    @Test
    void callsAndMessagesArriveAtTheSamePort() throws Exception {
        RelayFixture instance = new RelayFixture().withRoutes();
        peer.acceptCalls(new TakenOverCalls(instance.service, instance.time)::accept);
        int port = listen();
        connect(port);
        assertTrue(opened.get(10, TimeUnit.SECONDS));
        assertTrue(answer.get(10, TimeUnit.SECONDS).startsWith("HTTP/1.1 404 "));

        peer.send(new PeerMember("n2", "127.0.0.1", port, "dc-1"), Bytes.ofUtf8("a message"));

        assertEquals(9, firstMessageBytes.get(10, TimeUnit.SECONDS));
    }

    /** Guards against a call that is written to an older program, which would take it for a message. */
    @Test
    void noCallIsWrittenToAProgramThatTakesNone() throws Exception {
        connect(listen());

        assertEquals(false, opened.get(10, TimeUnit.SECONDS));
        assertTrue(messages.isEmpty());
    }

    /** Sends a call as soon as it is added, and reads the answer. */
    private final class AnswerReader extends SimpleChannelInboundHandler<ByteBuf> {

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            write(context.channel(), RelayFixture.getRequest("/nowhere/", "p1"));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext _context, ByteBuf bytes) {
            answer.complete(bytes.toString(StandardCharsets.UTF_8));
        }
    }

    private static void write(Channel channel, String text) {
        channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
                .addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
    }
}
