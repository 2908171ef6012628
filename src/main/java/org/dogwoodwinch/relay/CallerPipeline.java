package org.dogwoodwinch.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
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
        CallerConnection connection = new CallerConnection(handler, time);
        channel.pipeline()
                .addLast(new ArrivalRecorder(connection, handler))
                .addLast(
                        new CallerResponseEncoder(connection::answersHeadRequest),
                        new StrictRequestDecoder(handler.limits()),
                        connection);
        return connection;
    }

    /**
     * Records the arrival of the first byte of a request, from which its deadline is counted, and lets the limits then in
     * force bound its head. Drops what arrives while the connection closes: the decoder would ask for more bytes until it
     * has a whole request.
     *
     * <p>Failure: a configuration raises a limit, and connections that were open before refuse what it allows for as long as
     * their callers keep them.
     */
    private static final class ArrivalRecorder extends ChannelInboundHandlerAdapter {
        private final CallerConnection connection;
        private final RequestHandler handler;

        ArrivalRecorder(CallerConnection connection, RequestHandler handler) {
            this.connection = connection;
            this.handler = handler;
        }

        /** Replaces the decoder, which holds no bytes before a request, if its limit has changed. */
        private void updateDecoder(ChannelPipeline pipeline) {
            StrictRequestDecoder decoder = pipeline.get(StrictRequestDecoder.class);
            CallerLimits limits = handler.limits();
            if (decoder.maxHeaderBytes() != limits.maxHeaderBytes()) {
                pipeline.replace(decoder, null, new StrictRequestDecoder(limits));
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (connection.bytesArrived()) {
                updateDecoder(context.pipeline());
            }
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
