package org.dogwoodwinch.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponseEncoder;
import org.dogwoodwinch.forwarding.CallerLimits;
import org.dogwoodwinch.time.TimeSource;

/** What handles a caller's connection. */
final class CallerPipeline {

    private CallerPipeline() {}

    /**
     * Adds the handlers.
     *
     * @param channel the connection, not null
     * @param handler takes its requests, not null
     * @param time the clock and timers, not null
     * @return the last handler
     */
    static CallerConnection install(Channel channel, RequestHandler handler, TimeSource time) {
        CallerLimits limits = handler.limits();
        CallerConnection connection = new CallerConnection(handler, time, limits);
        channel.pipeline()
                .addLast(new ArrivalRecorder(connection))
                .addLast(new HttpResponseEncoder(), new StrictRequestDecoder(limits), connection);
        return connection;
    }

    /** Notes when the first byte of a request arrives: its deadline runs from there, not from the end of its body. */
    private static final class ArrivalRecorder extends ChannelInboundHandlerAdapter {
        private final CallerConnection connection;

        ArrivalRecorder(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.bytesArrived();
            context.fireChannelRead(message);
        }
    }
}
