package org.dogwoodwinch.daemon;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPromise;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.http.Channels;
import org.dogwoodwinch.relay.TargetConnector;

/** The links of one instance to all targets, which can be cut. Used on one event loop. */
final class CuttableLinks implements TargetConnector {

    /** What happens to connections to targets. */
    enum Mode {
        /** They work. */
        UP,
        /** They carry nothing, and attempts to connect are not answered. */
        SILENT,
        /** They are reset when they are used, and new ones are refused. */
        RESET,
        /** They live on, and new ones are refused. */
        NEW_REFUSED
    }

    private final TargetConnector inner;
    private final List<Outcome> unanswered = new ArrayList<>();
    private volatile Mode mode = Mode.UP;

    CuttableLinks(TargetConnector inner) {
        this.inner = inner;
    }

    void setMode(Mode newMode) {
        mode = newMode;
    }

    @Override
    public void connect(Incarnation target, ChannelHandler handler, Outcome outcome) {
        switch (mode) {
            case UP -> inner.connect(target, new LinkInitializer(handler), outcome);
            case SILENT -> unanswered.add(outcome);
            case RESET, NEW_REFUSED -> outcome.failed();
        }
    }

    private final class LinkInitializer extends ChannelInitializer<Channel> {

        private final ChannelHandler handler;

        LinkInitializer(ChannelHandler handler) {
            this.handler = handler;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new Link(), handler);
        }
    }

    private final class Link extends ChannelDuplexHandler {

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (mode == Mode.SILENT) {
                ReferenceCountUtil.release(message);
                promise.setSuccess();
            } else if (mode == Mode.RESET) {
                ReferenceCountUtil.release(message);
                promise.setFailure(new IOException("Connection reset by peer"));
                context.fireExceptionCaught(new IOException("Connection reset by peer"));
                Channels.close(context.channel());
            } else {
                Channels.logFailure(context.write(message, promise));
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (mode == Mode.SILENT || mode == Mode.RESET) {
                ReferenceCountUtil.release(message);
            } else {
                context.fireChannelRead(message);
            }
        }
    }
}
