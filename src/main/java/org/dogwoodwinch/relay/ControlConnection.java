package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.function.Consumer;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.http.Channels;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A connection that carries one control call at a time. Confined to its event loop. */
final class ControlConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private static final Logger log = LoggerFactory.getLogger(ControlConnection.class);

    /** The body, its head, and as much again as the chunks of a sound body add to it. */
    private static final long MAX_RECEIVED_BYTES =
            2L * ReceiveLimits.MAX_CONTROL_BODY_BYTES + ReceiveLimits.MAX_HEADER_BYTES;

    private final InetSocketAddress address;
    private final Consumer<ControlConnection> onIdle;
    private Channel channel;
    private ControlExchange current;
    private long receivedBytes;

    /**
     * Creates a connection that is not open yet.
     *
     * @param address the address of the server, not null
     * @param onIdle receives the connection when it can carry another call, not null
     */
    ControlConnection(InetSocketAddress address, Consumer<ControlConnection> onIdle) {
        this.address = Objects.requireNonNull(address, "address");
        this.onIdle = Objects.requireNonNull(onIdle, "onIdle");
    }

    /** Returns the handler that installs the connection in a channel. */
    ChannelHandler newInitializer() {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel opened) {
                opened.pipeline()
                        .addLast(
                                new ReceiveGuard(ControlConnection.this::mayDecode),
                                new HttpClientCodec(),
                                new HttpObjectAggregator(ReceiveLimits.MAX_CONTROL_BODY_BYTES),
                                ControlConnection.this);
            }
        };
    }

    InetSocketAddress address() {
        return address;
    }

    boolean isOpen() {
        return channel.isActive();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /**
     * Sends a call. No other call may be under way.
     *
     * @param exchange the call, not null
     */
    void send(ControlExchange exchange) {
        current = exchange;
        receivedBytes = 0;
        exchange.recordSent(() -> Channels.close(channel));
        ControlRequest call = exchange.request();
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                call.method(),
                call.uri(),
                Unpooled.wrappedBuffer(call.body().toByteArray()));
        request.headers().set(call.headers());
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        HttpUtil.setContentLength(request, call.body().length());
        Channels.writeAndFlush(channel, request);
    }

    /** Returns whether bytes may belong to an answer; the connection is closed if they do not. */
    private boolean mayDecode(int bytes) {
        receivedBytes += bytes;
        if (current != null && receivedBytes <= MAX_RECEIVED_BYTES) {
            return true;
        }
        if (channel.isActive()) {
            LogEvent.of("bytes_without_answer")
                    .with("target", address)
                    .with("kind", current == null ? "idle" : "control")
                    .with("bytes", receivedBytes)
                    .warn(log);
            Channels.close(channel);
        }
        return false;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext _context, FullHttpResponse response) {
        ControlExchange done = current;
        current = null;
        boolean usable = done != null && response.decoderResult().isSuccess();
        if (usable && HttpUtil.isKeepAlive(response)) {
            onIdle.accept(this);
        } else {
            Channels.close(channel);
        }
        if (usable) {
            Bytes body = Bytes.of(ByteBufUtil.getBytes(response.content()));
            done.end(new ControlReply.Answered(response.status().code(), response.headers(), body));
        } else if (done != null) {
            done.end(new ControlReply.Lost("garbled"));
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext _context) {
        failExchange("connection_closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext _context, Throwable cause) {
        failExchange("connection_failed: " + cause);
        Channels.close(channel);
    }

    private void failExchange(String reason) {
        ControlExchange lost = current;
        current = null;
        if (lost != null) {
            lost.end(new ControlReply.Lost(reason));
        }
    }
}
