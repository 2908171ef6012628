package org.dogwoodwinch.standin.platform;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.http.Channels;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.net.Addresses;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The HTTP listener of a stand-in, on loopback. */
public final class StandInListener implements AutoCloseable {

    private static final Logger log = LoggerFactory.getLogger(StandInListener.class);
    private static final String HOST = "127.0.0.1";
    private static final int MAX_BODY_BYTES = 16 << 20;

    private final Channel channel;
    private final ChannelGroup connections;

    private StandInListener(Channel channel, ChannelGroup connections) {
        this.channel = channel;
        this.connections = connections;
    }

    /**
     * Binds a free port.
     *
     * @param transport its sockets, not null
     * @param handler handles the requests, not null
     * @return the listener
     * @throws IOException if no port can be bound
     */
    public static StandInListener bind(Transport transport, StandInHandler handler) throws IOException {
        return bindEach(transport, () -> handler);
    }

    /**
     * Binds a free port of a server that sends some of its answers a second time.
     *
     * @param transport its sockets, not null
     * @param handler handles the requests, not null
     * @param stutter decides which answers are sent a second time, not null
     * @param time delays second answers, not null
     * @return the listener
     * @throws IOException if no port can be bound
     */
    public static StandInListener bindStuttering(
            Transport transport, StandInHandler handler, Stutter stutter, TimeSource time) throws IOException {
        return bindEach(transport, () -> new StutteringConnection(handler, stutter, time));
    }

    /**
     * Binds a free port where each connection has a handler of its own.
     *
     * @param transport its sockets, not null
     * @param newHandler creates the handler of the requests of one connection, not null
     * @return the listener
     * @throws IOException if no port can be bound
     */
    static StandInListener bindEach(Transport transport, Supplier<StandInHandler> newHandler) throws IOException {
        ChannelGroup accepted = newGroup(transport);
        ChannelFuture binding = startBinding(transport, newHandler, accepted).awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw new IOException("cannot listen", binding.cause());
        }
        return new StandInListener(binding.channel(), accepted);
    }

    /**
     * Binds a free port from the event loop, which must not wait for it.
     *
     * @param transport its sockets, not null
     * @param newHandler creates the handler of the requests of one connection, not null
     * @param onBound receives the listener once it listens, on the event loop, not null
     */
    static void bindLater(Transport transport, Supplier<StandInHandler> newHandler, Consumer<StandInListener> onBound) {
        ChannelGroup accepted = newGroup(transport);
        startBinding(transport, newHandler, accepted).addListener(binding -> {
            if (binding.isSuccess()) {
                onBound.accept(new StandInListener(((ChannelFuture) binding).channel(), accepted));
            } else {
                LogEvent.of("stand_in_not_bound").with("error", binding.cause()).warn(log);
            }
        });
    }

    private static ChannelGroup newGroup(Transport transport) {
        return new DefaultChannelGroup(transport.eventLoopGroup().next());
    }

    private static ChannelFuture startBinding(
            Transport transport, Supplier<StandInHandler> newHandler, ChannelGroup accepted) {
        return new ServerBootstrap()
                .group(transport.eventLoopGroup())
                .channel(transport.serverChannelClass())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel added) {
                        accepted.add(added);
                        added.pipeline()
                                .addLast(new HttpRequestDecoder(), new HttpResponseEncoder())
                                .addLast(
                                        new HttpObjectAggregator(MAX_BODY_BYTES), new RequestHandler(newHandler.get()));
                    }
                })
                .bind(Addresses.of(HOST, 0));
    }

    /** Ends like a process that crashes: its port is closed, and all its connections are reset. */
    void crash() {
        Channels.close(channel);
        for (Channel connection : connections) {
            connection.config().setOption(ChannelOption.SO_LINGER, 0);
            Channels.close(connection);
        }
    }

    /**
     * Returns where it listens.
     *
     * @return IP number, colon, port
     */
    public String address() {
        return HOST + ":" + ((InetSocketAddress) channel.localAddress()).getPort();
    }

    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
    }

    private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final StandInHandler handler;

        RequestHandler(StandInHandler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest http) {
            StandInRequest request = new StandInRequest(
                    http.method().name(), http.uri(), http.headers(), Bytes.of(ByteBufUtil.getBytes(http.content())));
            handler.handle(request, new ChannelAnswer(context.channel()));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LogEvent.of("stand_in_connection_failed").with("error", cause).debug(log);
            Channels.close(context.channel());
        }
    }

    private static final class ChannelAnswer implements StandInAnswer {
        private final Channel channel;
        private boolean unframed;

        ChannelAnswer(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void whole(int status, Map<String, String> headers, byte[] body) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(body));
            headers.forEach((name, value) -> response.headers().set(name, value));
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
            Channels.writeAndFlush(channel, response);
        }

        @Override
        public void begin(int status, Map<String, String> headers) {
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            headers.forEach((name, value) -> response.headers().set(name, value));
            HttpUtil.setTransferEncodingChunked(response, true);
            Channels.writeAndFlush(channel, response);
        }

        @Override
        public void beginUnframed(int status, Map<String, String> headers) {
            unframed = true;
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            headers.forEach((name, value) -> response.headers().set(name, value));
            Channels.writeAndFlush(channel, response);
        }

        @Override
        public void chunk(byte[] body) {
            Channels.writeAndFlush(channel, new DefaultHttpContent(Unpooled.wrappedBuffer(body)));
        }

        @Override
        public void end() {
            Channels.writeAndFlush(channel, LastHttpContent.EMPTY_LAST_CONTENT);
            if (unframed) {
                close();
            }
        }

        @Override
        public void raw(byte[] bytes) {
            ChannelHandlerContext first = channel.pipeline().context(HttpRequestDecoder.class);
            Channels.logFailure(first.writeAndFlush(Unpooled.wrappedBuffer(bytes)));
        }

        @Override
        public void close() {
            Channels.close(channel);
        }

        @Override
        public void reset() {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            close();
        }

        @Override
        public boolean open() {
            return channel.isActive();
        }
    }
}
