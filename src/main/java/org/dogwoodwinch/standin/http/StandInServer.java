package org.dogwoodwinch.standin.http;

import com.google.common.net.InetAddresses;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.http.Channels;
import org.dogwoodwinch.http.HttpLimits;
import org.dogwoodwinch.http.HttpListener;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The HTTP server under each stand-in. */
final class StandInServer {

    private static final Logger log = LoggerFactory.getLogger(StandInServer.class);
    private static final String HOST = "127.0.0.1";
    private static final HttpLimits LIMITS =
            new HttpLimits(16 << 20, 65_536, 16_384, 100_000, 60_000, 600_000, 600_000);

    private StandInServer() {}

    /**
     * Binds a server on loopback.
     *
     * @param group runs its I/O, not null
     * @param port the port; 0 for any free one
     * @param service handles the calls, not null
     * @return the listener
     * @throws IOException if the port cannot be bound
     */
    static HttpListener bind(EventLoopGroup group, int port, StandInService service) throws IOException {
        InetSocketAddress address = new InetSocketAddress(InetAddresses.forString(HOST), port);
        return new HttpListener(group, address, LIMITS, Optional.empty(), channel -> addHandlers(channel, service));
    }

    private static void addHandlers(SocketChannel channel, StandInService service) {
        channel.pipeline()
                .addLast(new HttpObjectAggregator(LIMITS.maxBodyBytes()))
                .addLast(new CallHandler(service));
    }

    private static final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        private static final int BAD_REQUEST = 400;

        private final StandInService service;

        CallHandler(StandInService service) {
            this.service = service;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest http) {
            StandInReply reply = new StandInReply(context.channel());
            Bytes body = Bytes.of(ByteBufUtil.getBytes(http.content()));
            try {
                service.handle(new StandInCall(http.method().name(), http.uri(), body), reply);
            } catch (RuntimeException e) {
                log.warn("event=stand_in_call_failed uri={}", http.uri(), e);
                reply.whole(BAD_REQUEST, "text/plain", new byte[0]);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LogEvent.of("stand_in_connection_failed").with("error", cause).debug(log);
            Channels.close(context.channel());
        }
    }
}
