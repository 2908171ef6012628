package org.dogwoodwinch.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
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
 * The socket transport: native epoll if its library can be loaded, Java NIO otherwise.
 *
 * <p>Failure: a connection stops delivering data without a reset while written bytes are unacknowledged. Only the
 * native transport lets the kernel detect this; NIO relies on the timeouts of each call.
 */
public final class Transport {

    private static final int FIRST_READ_BYTES = 2_048;
    private static final int MAX_READ_BYTES = 32_768;
    private static final int MAX_READS_PER_TURN = 4;

    private final boolean nativeEpoll;
    private final EventLoopGroup eventLoopGroup;

    private Transport(boolean nativeEpoll, EventLoopGroup group) {
        this.nativeEpoll = nativeEpoll;
        this.eventLoopGroup = group;
    }

    /**
     * Starts the event loops.
     *
     * @param threadsCount the number of event loop threads, at least one
     * @return the transport; the caller shuts its event loop group down
     */
    public static Transport start(int threadsCount) {
        return Epoll.isAvailable()
                ? new Transport(true, new EpollEventLoopGroup(threadsCount))
                : new Transport(false, new NioEventLoopGroup(threadsCount));
    }

    /**
     * Creates a transport that uses existing NIO event loops.
     *
     * @param group the event loops, not null; the caller shuts them down
     * @return the transport
     */
    public static Transport ofNio(EventLoopGroup group) {
        return new Transport(false, group);
    }

    /**
     * Returns the event loop group.
     *
     * @return the group
     */
    public EventLoopGroup eventLoopGroup() {
        return eventLoopGroup;
    }

    /**
     * Returns the name of the transport.
     *
     * @return {@code epoll} or {@code nio}
     */
    public String name() {
        return nativeEpoll ? "epoll" : "nio";
    }

    /**
     * Returns the channel class of listening sockets.
     *
     * @return the class to set on a bootstrap
     */
    public Class<? extends ServerSocketChannel> serverChannelClass() {
        return nativeEpoll ? EpollServerSocketChannel.class : NioServerSocketChannel.class;
    }

    /**
     * Returns the channel class of outgoing connections.
     *
     * @return the class to set on a bootstrap
     */
    public Class<? extends SocketChannel> channelClass() {
        return nativeEpoll ? EpollSocketChannel.class : NioSocketChannel.class;
    }

    /**
     * Prepares the opening of a connection to a server.
     *
     * @param group the event loops of which one gets the connection, not null
     * @param connectTimeoutMillis the time-out for opening it, in milliseconds
     * @param unacknowledgedMillis how long written bytes may remain unacknowledged, in milliseconds; NIO ignores it
     * @return a bootstrap without a handler
     */
    public Bootstrap newClient(EventLoopGroup group, int connectTimeoutMillis, int unacknowledgedMillis) {
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(channelClass())
                .option(ChannelOption.RCVBUF_ALLOCATOR, newReceiveAllocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis);
        setUnacknowledgedTimeout(bootstrap, unacknowledgedMillis);
        return bootstrap;
    }

    /** Bounds what one connection makes the event loop decode in one turn, as other connections wait for it. */
    private static RecvByteBufAllocator newReceiveAllocator() {
        return new AdaptiveRecvByteBufAllocator(64, FIRST_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(MAX_READS_PER_TURN);
    }

    /**
     * Makes the kernel close a connection whose written bytes stay unacknowledged for the given time. NIO does not
     * support this; there, the method only disables Nagle's algorithm.
     *
     * @param bootstrap the bootstrap that opens the connections, not null
     * @param timeoutMillis the maximum time without acknowledgement, in milliseconds
     */
    private void setUnacknowledgedTimeout(Bootstrap bootstrap, int timeoutMillis) {
        bootstrap.option(ChannelOption.TCP_NODELAY, true);
        if (nativeEpoll) {
            bootstrap.option(EpollChannelOption.TCP_USER_TIMEOUT, timeoutMillis);
        }
    }
}
