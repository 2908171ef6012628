package org.dogwoodwinch.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * The kind of sockets: the kernel's epoll where its library loads, the runtime's own otherwise.
 *
 * <p>Failure: a connection goes silent without a reset, with bytes under way. Only the native transport lets the kernel
 * notice it; the other relies on the time bounds of each call.
 */
public final class Transport {

    private final boolean nativeEpoll;
    private final EventLoopGroup group;

    private Transport(boolean nativeEpoll, EventLoopGroup group) {
        this.nativeEpoll = nativeEpoll;
        this.group = group;
    }

    /**
     * Starts the event loops.
     *
     * @param threadsCount how many, at least one
     * @return the transport; its owner shuts the group down
     */
    public static Transport start(int threadsCount) {
        return Epoll.isAvailable()
                ? new Transport(true, new EpollEventLoopGroup(threadsCount))
                : new Transport(false, new NioEventLoopGroup(threadsCount));
    }

    /**
     * Takes over event loops of the runtime's own kind.
     *
     * @param group the event loops, not null; its owner shuts it down
     * @return the transport
     */
    public static Transport ofNio(EventLoopGroup group) {
        return new Transport(false, group);
    }

    /**
     * Returns the event loops.
     *
     * @return the group
     */
    public EventLoopGroup group() {
        return group;
    }

    /**
     * Says which kind it is.
     *
     * @return epoll or nio
     */
    public String name() {
        return nativeEpoll ? "epoll" : "nio";
    }

    /**
     * Returns the kind of listening sockets.
     *
     * @return a class for a bootstrap
     */
    public Class<? extends ServerSocketChannel> serverChannel() {
        return nativeEpoll ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }

    /**
     * Returns the kind of connections.
     *
     * @return a class for a bootstrap
     */
    public Class<? extends SocketChannel> channel() {
        return nativeEpoll ? EpollSocketChannel.class : NioSocketChannel.class;
    }

    /**
     * Lets the kernel give a connection up whose written bytes nobody acknowledged for that long.
     *
     * @param bootstrap opens the connections, not null
     * @param timeoutMillis how long
     */
    public void setUnacknowledgedTimeout(Bootstrap bootstrap, int timeoutMillis) {
        bootstrap.option(ChannelOption.TCP_NODELAY, true);
        if (nativeEpoll) {
            bootstrap.option(EpollChannelOption.TCP_USER_TIMEOUT, timeoutMillis);
        }
    }
}
