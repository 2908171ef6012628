package org.dogwoodwinch.relay;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelId;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.dogwoodwinch.http.Channels;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.time.TimeSource;

/** Listens for connections from callers whose calls are forwarded. */
final class CallerListener {

    /**
     * Length of the accept queue. A connection attempt beyond it is dropped and repeated by the client after a second.
     */
    private static final int BACKLOG = 1_024;

    /**
     * Time without a request after which a stop closes a connection. The first request on a new connection arrives within
     * it, also behind 1.8 MB that wait before a link of 10 Mbit/s.
     */
    private static final long QUIET_MILLIS = 1_500;

    /** At the end of a stop, requests that the kernel has received are still read, and refused, for this long. */
    private static final long LAST_READS_MILLIS = 20;

    private final Transport transport;
    private final RequestHandler handler;
    private final TimeSource time;
    private final Map<ChannelId, CallerConnection> connections = new HashMap<>();
    private Channel listener;

    CallerListener(Transport transport, RequestHandler handler, TimeSource time) {
        this.transport = Objects.requireNonNull(transport, "transport");
        this.handler = Objects.requireNonNull(handler, "handler");
        this.time = Objects.requireNonNull(time, "time");
    }

    /**
     * Binds the listener.
     *
     * @param address the address to listen on, port 0 for any free port, not null
     * @throws IOException if the address cannot be bound
     */
    void bind(InetSocketAddress address) throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(transport.eventLoopGroup())
                .channel(transport.serverChannelClass())
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                });
        ChannelFuture binding = bootstrap.bind(address).awaitUninterruptibly();
        if (!binding.isSuccess()) {
            throw new IOException("cannot listen on " + address, binding.cause());
        }
        listener = binding.channel();
    }

    int port() {
        return ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /**
     * Returns the number of open connections. One that closes in an orderly way counts until its caller has closed it too,
     * for at most a second after the last byte was passed to the kernel.
     */
    int connectionsCount() {
        return connections.size();
    }

    /** Stops accepting connections; open ones continue. */
    void stopAccepting() {
        Channels.close(listener);
    }

    /**
     * Closes connections without a request that is being read, queued or under way, and without one for some time; younger
     * ones are closed by a later call.
     */
    void closeIdle() {
        List.copyOf(connections.values()).forEach(connection -> connection.closeIfQuiet(QUIET_MILLIS));
    }

    /**
     * Closes all connections in an orderly way at the end of a stop. Requests under way get an error response, or are broken
     * off if their response has begun; queued ones go to the handler, which refuses them.
     */
    void closeAll() {
        List.copyOf(connections.values()).forEach(connection -> connection.closeIfQuiet(0));
        time.schedule(LAST_READS_MILLIS, () -> List.copyOf(connections.values()).forEach(CallerConnection::close));
    }

    private void accept(Channel channel) {
        CallerConnection connection = CallerPipeline.install(channel, handler, time);
        connections.put(channel.id(), connection);
        channel.closeFuture().addListener(_closed -> connections.remove(channel.id()));
    }
}
