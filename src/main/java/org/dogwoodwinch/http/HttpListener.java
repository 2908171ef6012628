package org.dogwoodwinch.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;

/** One bound HTTP listener. */
public final class HttpListener {

    /** Low, so that a slow caller holds its target back early; one token's event is a few hundred bytes. */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16 << 10, 32 << 10);

    private static final int BACKLOG = 4_096;

    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel server;

    /**
     * Binds a listener.
     *
     * @param group runs its I/O, not null; its owner shuts it down
     * @param address where to listen; port 0 for any free one, not null
     * @param limits its bounds, not null
     * @param tls encrypts, not null; empty for plain text
     * @param handlers adds the handlers behind the HTTP codec, not null
     * @throws IOException if the address cannot be bound
     */
    public HttpListener(
            EventLoopGroup group,
            InetSocketAddress address,
            HttpLimits limits,
            Optional<SslContext> tls,
            Consumer<SocketChannel> handlers)
            throws IOException {
        Objects.requireNonNull(handlers, "handlers");
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childHandler(new Initializer(limits, tls, handlers));
        ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on " + address + ": " + bound.cause().getMessage(), bound.cause());
        }
        server = bound.channel();
    }

    /**
     * Returns the port that it listens on.
     *
     * @return the port
     */
    public int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Stops listening and closes every connection; returns when that is done. */
    public void close() {
        server.close().awaitUninterruptibly();
        connections.close().awaitUninterruptibly();
    }

    /** Prepares connections; one too many is closed before it costs anything. */
    private final class Initializer extends ChannelInitializer<SocketChannel> {

        private final HttpLimits limits;
        private final Optional<SslContext> tls;
        private final Consumer<SocketChannel> handlers;

        Initializer(HttpLimits limits, Optional<SslContext> tls, Consumer<SocketChannel> handlers) {
            this.limits = limits;
            this.tls = tls;
            this.handlers = handlers;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            if (connections.size() >= limits.maxConnections()) {
                Channels.close(channel);
                return;
            }
            connections.add(channel);
            tls.ifPresent(context -> channel.pipeline().addLast(context.newHandler(channel.alloc())));
            channel.pipeline()
                    .addLast(new HttpServerCodec(new HttpDecoderConfig()
                            .setMaxInitialLineLength(limits.maxRequestLineBytes())
                            .setMaxHeaderSize(limits.maxHeaderBytes())));
            handlers.accept(channel);
        }
    }
}
