package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A server of control calls without a network, whose bytes a test writes. */
public final class FakeControlServer implements ControlConnector {

    private final List<Connection> connections = new ArrayList<>();

    @Override
    public void connect(InetSocketAddress _address, ChannelHandler handler, TargetConnector.Outcome outcome) {
        connections.add(new Connection(handler));
        outcome.connected();
    }

    /** Returns the number of connections that were opened. */
    public int connectionsCount() {
        return connections.size();
    }

    /** Returns a connection by the order in which they were opened, from zero. */
    public Connection connection(int index) {
        return connections.get(index);
    }

    /** Returns the connection that was opened last. */
    public Connection latest() {
        return connections.get(connections.size() - 1);
    }

    /** Returns an answer with a length. */
    public static String answer(String status, String body) {
        return "HTTP/1.1 " + status
                + "\r\nDate: Sat, 05 Dec 2026 10:00:00 GMT\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    /** The server's end of a connection. */
    public static final class Connection {

        private final EmbeddedChannel channel;
        private final StringBuilder received = new StringBuilder();

        Connection(ChannelHandler handler) {
            this.channel = new EmbeddedChannel(new Recorder(), handler);
        }

        public boolean isOpen() {
            return channel.isActive();
        }

        /** Returns the bytes received since the previous call. */
        public String takeReceived() {
            String text = received.toString();
            received.setLength(0);
            return text;
        }

        /** Sends bytes that arrive in one read. Nothing arrives on a connection that was closed. */
        public void send(String text) {
            if (channel.isActive()) {
                channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
                channel.runPendingTasks();
            }
        }

        /** Closes the connection. */
        public void close() {
            channel.close().syncUninterruptibly();
        }

        /** Keeps what is written, and releases it. */
        private final class Recorder extends ChannelOutboundHandlerAdapter {

            @Override
            public void write(ChannelHandlerContext _context, Object message, ChannelPromise promise) {
                received.append(((ByteBuf) message).toString(StandardCharsets.ISO_8859_1));
                ReferenceCountUtil.release(message);
                promise.setSuccess();
            }
        }
    }
}
