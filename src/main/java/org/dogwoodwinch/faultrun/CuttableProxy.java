package org.dogwoodwinch.faultrun;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Objects;
import org.dogwoodwinch.http.Channels;

/**
 * Forwards TCP connections on loopback until it is cut. Then nothing passes and nobody is told, as when a network is
 * partitioned: connections stay open and silent.
 */
final class CuttableProxy {

    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Bootstrap connector;
    private final Channel server;
    private volatile InetSocketAddress target;
    private volatile boolean cut;

    /**
     * Listens on a free port.
     *
     * @param group runs the I/O, not null
     * @param target where connections go, not null
     */
    CuttableProxy(EventLoopGroup group, InetSocketAddress target) {
        this.target = Objects.requireNonNull(target, "target");
        this.connector = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false);
        this.server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Returns where to connect.
     *
     * @return the port on loopback
     */
    int port() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    /**
     * Changes where new connections go.
     *
     * @param newTarget where, not null
     */
    void setTarget(InetSocketAddress newTarget) {
        target = Objects.requireNonNull(newTarget, "newTarget");
    }

    /** Lets nothing pass any more. */
    void cut() {
        cut = true;
    }

    /** Lets connections pass again; those that were open while it was cut are closed, as after a long silence. */
    void join() {
        cut = false;
        channels.close().awaitUninterruptibly();
    }

    /** Stops listening and closes every connection. */
    void close() {
        server.close().syncUninterruptibly();
        channels.close().syncUninterruptibly();
    }

    private void accept(Channel near) {
        channels.add(near);
        if (cut) {
            return;
        }
        connector
                .clone(near.eventLoop())
                .handler(new Forwarder(near))
                .connect(target)
                .addListener((ChannelFutureListener) connected -> {
                    if (!connected.isSuccess()) {
                        Channels.close(near);
                        return;
                    }
                    channels.add(connected.channel());
                    near.pipeline().addLast(new Forwarder(connected.channel()));
                    near.read();
                    connected.channel().read();
                });
    }

    /** Passes one direction on; reads again only when what it read is written, so that it holds little. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {

        private final Channel other;

        Forwarder(Channel other) {
            this.other = other;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (cut) {
                ReferenceCountUtil.release(message);
                return;
            }
            other.writeAndFlush(message).addListener((ChannelFutureListener) written -> {
                if (written.isSuccess()) {
                    context.channel().read();
                } else {
                    Channels.close(context.channel());
                }
            });
        }

        @Override
        public void channelInactive(ChannelHandlerContext _context) {
            if (!cut) {
                other.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable _cause) {
            Channels.close(context.channel());
        }
    }
}
