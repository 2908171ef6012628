package org.dogwoodwinch.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Objects;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.time.Cancellable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves one caller's connection, one request after the other.
 *
 * <p>A request that comes before the answer to the one before it is dropped and the connection closed after that answer:
 * the caller sees that it got none, and no answer can be taken for another's. Runs on the connection's event loop alone.
 */
final class CallerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final Logger log = LoggerFactory.getLogger(CallerHandler.class);
    private static final int OK = 200;

    private final CallerEdge edge;
    private final CallerPace pace;
    private CallerExchange exchange;
    private Cancellable slowReaderTimer = () -> {};
    private boolean closing;

    /**
     * Creates a handler for one connection.
     *
     * @param edge what the connections share, not null
     * @param pace this connection's pace, not null
     */
    CallerHandler(CallerEdge edge, CallerPace pace) {
        this.edge = Objects.requireNonNull(edge, "edge");
        this.pace = Objects.requireNonNull(pace, "pace");
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest http) {
        if (closing) {
            return;
        }
        if (exchange != null) {
            closing = true;
            return;
        }
        pace.requestArrived();
        if (http.decoderResult().isFailure()) {
            refuseArriving(context, malformed(http.decoderResult().cause()));
            return;
        }
        String requestId = edge.requestIds().get();
        boolean keepAlive = HttpUtil.isKeepAlive(http) && edge.serving().get() == ServingState.SERVING;
        boolean chunked = http.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
        ReplyContext reply = new ReplyContext(requestId, keepAlive, chunked);
        serve(context, edge.reader().read(http, requestId), reply);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof EdgeRefusal refused) {
            refuseArriving(context, refused.refusal());
            return;
        }
        context.fireUserEventTriggered(event);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        slowReaderTimer.cancel();
        if (!context.channel().isWritable()) {
            slowReaderTimer = edge.time()
                    .schedule(
                            edge.limits().slowReaderMillis(),
                            () -> context.executor().execute(() -> giveUpSlowReader(context)));
        }
        if (exchange != null) {
            exchange.writabilityChanged();
        }
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        slowReaderTimer.cancel();
        closing = true;
        if (exchange != null) {
            exchange.callerLeft();
            exchange = null;
            edge.inFlight().ended();
        }
        context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LogEvent.of("connection_failed").with("error", cause).debug(log);
        Channels.close(context.channel());
    }

    private void serve(ChannelHandlerContext context, ReadOutcome outcome, ReplyContext reply) {
        if (outcome instanceof ReadOutcome.Accepted accepted) {
            submit(context, accepted, reply);
            return;
        }
        if (outcome instanceof ReadOutcome.Models models) {
            byte[] json = EdgeJson.write(ModelList.of(models.entries()));
            reply.writeWhole(context.channel(), Replies.of(OK, Replies.JSON, json));
        } else if (outcome instanceof ReadOutcome.Refused refused) {
            edge.observer().onRefusedUnread(reply.requestId(), refused.refusal());
            reply.writeWhole(context.channel(), Replies.refusal(refused.refusal(), reply.requestId()));
        }
        afterAnswer(context, !reply.keepAlive());
    }

    private void submit(ChannelHandlerContext context, ReadOutcome.Accepted accepted, ReplyContext reply) {
        exchange = new CallerExchange(
                context.channel(),
                accepted.request(),
                writerFor(context.channel(), accepted, reply),
                reply,
                edge.observer(),
                edge.time(),
                close -> exchangeEnded(context, close));
        edge.inFlight().started();
        edge.observer().onAccepted(reply.requestId(), accepted.request().entry());
        CallerExchange submitted = exchange;
        try {
            submitted.attach(edge.handler().submit(accepted.request(), submitted));
        } catch (RuntimeException e) {
            // A fault of this program must not leave the caller waiting for an answer that nobody will give.
            log.error("event=submit_failed request={}", reply.requestId(), e);
            submitted.refuseNow(Refusal.mayHaveRun(RefusalReason.INTERNAL, "a fault of this system"));
        }
    }

    private AnswerWriter writerFor(Channel channel, ReadOutcome.Accepted accepted, ReplyContext reply) {
        AnswerShape shape = accepted.shape();
        AnswerJson json = new AnswerJson(
                shape.kind(),
                reply.requestId(),
                accepted.request().entry().name(),
                edge.time().wallMillis() / 1_000);
        return shape.stream()
                ? new StreamedAnswerWriter(channel, json, reply, shape.includeUsage())
                : new WholeAnswerWriter(channel, json, reply);
    }

    /**
     * The request counts as in flight until its last byte is out: a stop that closed connections while a slow caller's
     * tail was still in our buffer would cut an answer that the counters call whole.
     */
    private void exchangeEnded(ChannelHandlerContext context, boolean close) {
        exchange = null;
        context.channel()
                .writeAndFlush(Unpooled.EMPTY_BUFFER)
                .addListener(_written -> edge.inFlight().ended());
        afterAnswer(context, close || closing);
    }

    private void afterAnswer(ChannelHandlerContext context, boolean close) {
        if (close) {
            closing = true;
            LingeringClose.afterWrites(context, edge.time());
            return;
        }
        pace.answered(context.pipeline().context(CallerPace.class));
    }

    private void refuseArriving(ChannelHandlerContext context, Refusal refusal) {
        if (closing) {
            return;
        }
        closing = true;
        if (exchange != null) {
            return;
        }
        String requestId = edge.requestIds().get();
        edge.observer().onRefusedUnread(requestId, refusal);
        FullHttpResponse response = Replies.refusal(refusal, requestId);
        new ReplyContext(requestId, false, true).writeWhole(context.channel(), response);
        LingeringClose.afterWrites(context, edge.time());
    }

    private void giveUpSlowReader(ChannelHandlerContext context) {
        if (context.channel().isWritable()) {
            return;
        }
        if (exchange != null) {
            exchange.refuseNow(Refusal.mayHaveRun(
                    RefusalReason.CALLER_TOO_SLOW,
                    "the answer was left unread for " + edge.limits().slowReaderMillis() + " ms"));
        }
        Channels.close(context.channel());
    }

    private static Refusal malformed(Throwable cause) {
        return cause instanceof TooLongFrameException
                ? Refusal.notRun(RefusalReason.HEADERS_TOO_LARGE, "the request line or the headers are too long", 0)
                : Refusal.invalidField("", "malformed HTTP");
    }
}
