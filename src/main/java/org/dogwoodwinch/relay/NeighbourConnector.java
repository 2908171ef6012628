package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;
import java.util.Objects;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.http.Channels;
import org.dogwoodwinch.net.Addresses;
import org.dogwoodwinch.net.CallPreface;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;

/**
 * Opens connections for calls to other instances, on the port on which they receive messages. A connection is open only
 * when the other instance has repeated the preface: until then, no byte of a call is written.
 */
public final class NeighbourConnector implements TargetConnector {

    /** Many round trips between data centres; another instance is tried after it. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    /** Instances acknowledge within milliseconds unless they are gone. */
    private static final int UNACKNOWLEDGED_MILLIS = 1_000;

    private final Transport transport;
    private final TimeSource time;

    /**
     * Creates a connector.
     *
     * @param transport the socket transport, not null
     * @param time timers of the event loop, not null
     */
    public NeighbourConnector(Transport transport, TimeSource time) {
        this.transport = Objects.requireNonNull(transport, "transport");
        this.time = Objects.requireNonNull(time, "time");
    }

    @Override
    public void connect(Incarnation neighbour, ChannelHandler handler, Outcome outcome) {
        ChannelFuture connecting = transport
                .newClient(transport.eventLoopGroup().next(), CONNECT_TIMEOUT_MILLIS, UNACKNOWLEDGED_MILLIS)
                .handler(new Opening(handler, outcome))
                .connect(Addresses.of(neighbour.host(), neighbour.port()));
        connecting.addListener(_done -> {
            if (!connecting.isSuccess()) {
                outcome.failed();
            }
        });
    }

    /** Waits for the preface of the other instance. */
    private final class Opening extends ByteToMessageDecoder {

        private final ChannelHandler callHandler;
        private final Outcome outcome;
        private Cancellable timeout;
        private boolean ended;

        Opening(ChannelHandler callHandler, Outcome outcome) {
            this.callHandler = callHandler;
            this.outcome = outcome;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            timeout = time.schedule(CONNECT_TIMEOUT_MILLIS, () -> fail(context));
            Channels.writeAndFlush(context.channel(), CallPreface.newBuffer());
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> _output) {
            if (ended || input.readableBytes() < CallPreface.BYTES) {
                return;
            }
            if (!CallPreface.isAtStartOf(input)) {
                fail(context);
                return;
            }
            input.skipBytes(CallPreface.BYTES);
            ended = true;
            timeout.cancel();
            context.pipeline().addLast(callHandler);
            context.pipeline().remove(this);
            outcome.connected();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail(context);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable _cause) {
            fail(context);
        }

        private void fail(ChannelHandlerContext context) {
            if (!ended) {
                ended = true;
                timeout.cancel();
                Channels.close(context.channel());
                outcome.failed();
            }
        }
    }
}
