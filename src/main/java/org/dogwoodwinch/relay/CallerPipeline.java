package org.dogwoodwinch.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import org.dogwoodwinch.forwarding.CallerLimits;
import org.dogwoodwinch.time.TimeSource;

/** Installs the channel handlers of a connection from a caller. */
final class CallerPipeline {

    private CallerPipeline() {}

    /**
     * Adds the handlers to a channel.
     *
     * @param channel the channel of the connection, not null
     * @param handler handles the requests, not null
     * @param time clock and timers of the event loop, not null
     * @return the last handler of the pipeline
     */
    static CallerConnection install(Channel channel, RequestHandler handler, TimeSource time) {
        CallerLimits limits = handler.limits();
        CallerConnection connection = new CallerConnection(handler, time, limits);
        channel.pipeline()
                .addLast(new ArrivalRecorder(connection))
                .addLast(
                        new CallerResponseEncoder(connection::answersHeadRequest),
                        new StrictRequestDecoder(limits),
                        connection);
        return connection;
    }

    /**
     * Records the arrival of the first byte of a request, from which its deadline is counted. Drops what arrives while the
     * connection closes: the decoder would ask for more bytes until it has a whole request.
     */
    private static final class ArrivalRecorder extends ChannelInboundHandlerAdapter {
        private final CallerConnection connection;

        ArrivalRecorder(CallerConnection connection) {
            this.connection = connection;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            connection.bytesArrived();
            if (connection.readsRequests()) {
                context.fireChannelRead(message);
            } else {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            if (connection.readsRequests()) {
                context.fireChannelReadComplete();
            }
        }
    }
}
