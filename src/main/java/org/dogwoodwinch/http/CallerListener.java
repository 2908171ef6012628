package org.dogwoodwinch.http;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;

/** Binds the callers' listener. */
public final class CallerListener {

    private CallerListener() {}

    /**
     * Binds it.
     *
     * @param group runs its I/O, not null; its owner shuts it down
     * @param address where to listen; port 0 for any free one, not null
     * @param tls encrypts, not null; empty for plain text
     * @param edge what the connections share, not null
     * @return the listener
     * @throws IOException if the address cannot be bound
     */
    public static HttpListener bind(
            EventLoopGroup group, InetSocketAddress address, Optional<SslContext> tls, CallerEdge edge)
            throws IOException {
        return new HttpListener(group, address, edge.limits(), tls, channel -> addHandlers(channel, edge));
    }

    private static void addHandlers(SocketChannel channel, CallerEdge edge) {
        CallerPace pace = new CallerPace(edge.time(), edge.limits());
        String codec = channel.pipeline().context(HttpServerCodec.class).name();
        channel.pipeline()
                .addBefore(codec, "pace", pace)
                .addLast(new RequestAggregator(edge.limits().maxBodyBytes()))
                .addLast(new CallerHandler(edge, pace));
    }
}
