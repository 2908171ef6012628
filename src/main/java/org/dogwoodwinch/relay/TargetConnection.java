package org.dogwoodwinch.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.http.Channels;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection to a target that carries one call at a time. Confined to its event loop.
 *
 * <p>If bytes arrive while no call waits for a response, they belong to no call and the connection is closed. A
 * response with another call's id is skipped, since a target may send a duplicate response to an earlier call before
 * the response to the current one.
 */
final class TargetConnection extends SimpleChannelInboundHandler<HttpObject> {

    private static final Logger log = LoggerFactory.getLogger(TargetConnection.class);

    private static final String TIMED_OUT = "timed out";
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;

    private enum State {
        IDLE,
        WAITING,
        RECEIVING,
        PASSING_OVER,
        SETTLING,
        CLOSED
    }

    private final Incarnation target;
    private final CallHeaders callHeaders;
    private final TargetResponseDecoder decoder;
    private final Runnable onHeard;
    private final Consumer<ResponseAttributes> onResponseHead;
    private final Consumer<TargetConnection> onIdle;
    private final Consumer<TargetConnection> onClosed;
    private Channel channel;
    private State state = State.IDLE;
    private ResponseSink sink;
    private String requestId = "";
    private ChannelFuture writeFuture;
    private boolean keepAlive;
    private boolean failed;
    private boolean withoutBody;
    private boolean closedHere;
    private ResponseEnd responseEnd = ResponseEnd.CONNECTION;
    private int skippedCount;
    private int interimCount;
    private long besideAnswerBytes;
    private long idleLimitMillis = Long.MAX_VALUE;
    private long idleSinceMillis;
    private int callsCount;

    TargetConnection(
            Incarnation target,
            CallHeaders callHeaders,
            TargetResponseDecoder decoder,
            Runnable onHeard,
            Consumer<ResponseAttributes> onResponseHead,
            Consumer<TargetConnection> onIdle,
            Consumer<TargetConnection> onClosed) {
        this.target = Objects.requireNonNull(target, "target");
        this.callHeaders = Objects.requireNonNull(callHeaders, "callHeaders");
        this.decoder = Objects.requireNonNull(decoder, "decoder");
        this.onHeard = Objects.requireNonNull(onHeard, "onHeard");
        this.onResponseHead = Objects.requireNonNull(onResponseHead, "onResponseHead");
        this.onIdle = Objects.requireNonNull(onIdle, "onIdle");
        this.onClosed = Objects.requireNonNull(onClosed, "onClosed");
    }

    Incarnation target() {
        return target;
    }

    boolean isOpen() {
        return state != State.CLOSED && channel != null && channel.isActive();
    }

    void markIdle(long nowMillis) {
        idleSinceMillis = nowMillis;
    }

    /**
     * Returns whether the target may have closed the connection by now, or may close it while the next call is on its
     * way.
     */
    boolean isStale(long nowMillis, long marginMillis) {
        return nowMillis - idleSinceMillis > idleLimitMillis - marginMillis;
    }

    /**
     * Writes a call. From this point on, the target may run it.
     *
     * @param call the call to write, not null
     * @param responseSink receives the response, not null
     */
    void send(OutboundCall call, ResponseSink responseSink) {
        if (state != State.IDLE) {
            throw new IllegalStateException("cannot send: the connection is not idle but " + state);
        }
        sink = Objects.requireNonNull(responseSink, "responseSink");
        requestId = call.requestId();
        skippedCount = 0;
        interimCount = 0;
        besideAnswerBytes = 0;
        state = State.WAITING;
        callsCount++;
        withoutBody = call.method().equals(HttpMethod.HEAD);
        decoder.expectWithoutBody(withoutBody);
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                call.method(),
                call.uri(),
                Unpooled.wrappedBuffer(call.body().toByteArray()),
                call.headers(),
                EmptyHttpHeaders.INSTANCE);
        if (call.body().length() > 0 || call.lengthStated()) {
            HttpUtil.setContentLength(request, call.body().length());
        }
        writeFuture = channel.writeAndFlush(request);
    }

    /** Cancels the call by closing the connection, on which the target drops the work. */
    void abort() {
        sink = null;
        close();
    }

    /**
     * Cancels a call whose answer exceeds its limit.
     *
     * @param kind what was too long, for logs, not null
     */
    void abortEndless(String kind) {
        logEndless(kind);
        abort();
    }

    /**
     * Returns whether bytes that have arrived may belong to an answer. The connection is closed if they do not: if no
     * call waits for one, or if what has arrived beside the answer exceeds its limit.
     *
     * @param bytes the number of bytes
     * @return whether to decode them
     */
    boolean mayDecode(int bytes) {
        if (failed || state == State.CLOSED) {
            return false;
        }
        if (state == State.RECEIVING) {
            return true;
        }
        besideAnswerBytes += bytes;
        if (state == State.IDLE) {
            logStray();
            failCall("stray_bytes");
            return false;
        }
        if (besideAnswerBytes > ReceiveLimits.MAX_BYTES_BESIDE_ANSWER) {
            failEndless(state == State.PASSING_OVER ? "answer_of_other" : "no_head");
            return false;
        }
        return true;
    }

    private void logStray() {
        LogEvent.of("stray_answer")
                .with("target", target.id())
                .with("state", state)
                .with("request", requestId)
                .with("calls", callsCount)
                .info(log);
    }

    private void logUnproved(String reason, ResponseAttributes attributes) {
        LogEvent.of("answer_not_proved")
                .with("target", target.id())
                .with("request", requestId)
                .with("reason", reason)
                .with("status", attributes.status())
                .with("answers", attributes.identity().requestIds())
                .with("calls", callsCount)
                .warn(log);
    }

    private void logEndless(String kind) {
        LogEvent.of("bytes_without_answer")
                .with("target", target.id())
                .with("request", requestId)
                .with("kind", kind)
                .with("bytes", besideAnswerBytes)
                .warn(log);
    }

    /** Fails the call as one that the target broke off, so that the target is left out for a while. */
    private void failEndless(String kind) {
        logEndless(kind);
        failCall("endless_bytes", true);
    }

    void close() {
        closedHere = true;
        if (channel != null) {
            Channels.close(channel);
        }
    }

    void setReading(boolean wanted) {
        channel.config().setAutoRead(wanted);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext _context, HttpObject message) {
        if (failed) {
            return;
        }
        onHeard.run();
        if (message.decoderResult().isFailure()) {
            failCall("garbled");
            return;
        }
        if (message instanceof HttpResponse response) {
            handleHead(response);
        }
        if (message instanceof HttpContent content) {
            handleContent(content);
        }
    }

    private void handleHead(HttpResponse response) {
        if (state != State.WAITING) {
            logStray();
            failCall("stray_bytes");
            return;
        }
        if (response.status().code() < MIN_STATUS || response.status().code() > MAX_STATUS) {
            failCall("garbled");
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            interimCount++;
            if (interimCount > ReceiveLimits.MAX_INTERIM_HEADS) {
                failEndless("interim_heads");
            }
            return;
        }
        ResponseAttributes attributes = callHeaders.parseResponse(response);
        keepAlive = HttpUtil.isKeepAlive(response)
                && (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response));
        responseEnd = expectedEnd(response);
        idleLimitMillis = attributes.idleTimeoutMillis().orElse(Long.MAX_VALUE);
        onResponseHead.accept(attributes);
        HeadVerdict verdict = HeadVerdict.of(attributes.identity(), requestId, callsCount == 1);
        if (verdict instanceof HeadVerdict.Unproved unproved) {
            logUnproved(unproved.reason(), attributes);
        }
        Optional<String> firstId = attributes.identity().requestIds().stream().findFirst();
        if (firstId.isPresent() && !firstId.get().equals(requestId)) {
            skipResponse(attributes);
            return;
        }
        state = State.RECEIVING;
        sink.onHead(attributes, response.headers());
    }

    private ResponseEnd expectedEnd(HttpResponse response) {
        int status = response.status().code();
        boolean bodyless = withoutBody
                || status == HttpResponseStatus.NO_CONTENT.code()
                || status == HttpResponseStatus.NOT_MODIFIED.code();
        if (!bodyless && HttpUtil.isTransferEncodingChunked(response)) {
            return ResponseEnd.CHUNKS;
        }
        return bodyless || HttpUtil.isContentLengthSet(response) ? ResponseEnd.LENGTH : ResponseEnd.CONNECTION;
    }

    private void skipResponse(ResponseAttributes attributes) {
        skippedCount++;
        LogEvent.of("stranger_answer_passed_over")
                .with("target", target.id())
                .with("request", requestId)
                .with("answers", attributes.identity().requestIds())
                .with("calls", callsCount)
                .info(log);
        if (skippedCount > ReceiveLimits.MAX_SKIPPED_ANSWERS || !keepAlive) {
            failCall("answers_of_others");
            return;
        }
        state = State.PASSING_OVER;
    }

    private void handleContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (state == State.PASSING_OVER) {
            state = last ? State.WAITING : state;
            return;
        }
        if (state != State.RECEIVING || failed) {
            return;
        }
        if (content.content().isReadable()) {
            sink.onBody(content.content());
        }
        // The sink may have aborted the call while it processed the chunk.
        if (last && state == State.RECEIVING && sink != null) {
            if (responseEnd == ResponseEnd.CONNECTION && !isOrderlyClose()) {
                failCall("connection_closed");
            } else {
                completeCall();
            }
        }
    }

    /**
     * Returns whether the target closed the connection in an orderly way. The decoder ends a response without a length
     * at any close: also one from this side, and one after a reset that a write met before a read.
     */
    private boolean isOrderlyClose() {
        return !closedHere
                && writeFuture.isDone()
                && writeFuture.isSuccess()
                && !channel.eventLoop().isShuttingDown();
    }

    /**
     * Completes the call. A target may respond before it has read a long request body and expects the rest of that body
     * next, so the connection is reused only if the whole request was written.
     */
    private void completeCall() {
        ResponseSink completed = sink;
        sink = null;
        state = State.SETTLING;
        boolean reusable = keepAlive && writeFuture.isDone() && writeFuture.isSuccess();
        if (!reusable) {
            close();
        }
        completed.onEnd(responseEnd);
    }

    /**
     * Returns the connection to the pool only after all received bytes were processed, since stray bytes may follow the
     * response.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (state == State.SETTLING && channel.isActive() && keepAlive) {
            state = State.IDLE;
            channel.config().setAutoRead(true);
            onIdle.accept(this);
        }
        context.fireChannelReadComplete();
    }

    private void failCall(String reason) {
        failCall(reason, false);
    }

    private void failCall(String reason, boolean connectionAborted) {
        ResponseSink waitingSink = sink;
        sink = null;
        failed = true;
        close();
        if (waitingSink != null) {
            waitingSink.onLost(reason, connectionAborted);
        }
    }

    /**
     * Returns whether the cause is a time-out, which may also be due to the local network link. Transports identify it
     * only by the exception's message.
     */
    private static boolean isTimeout(Throwable cause) {
        return cause.getMessage() != null && cause.getMessage().contains(TIMED_OUT);
    }

    private boolean isFirstCallUnanswered() {
        return state == State.WAITING && callsCount == 1;
    }

    /**
     * Fails the call. A reset is not an orderly close: a response without a length that ends with one must not be
     * treated as complete.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext _context, Throwable cause) {
        if (sink != null || state != State.IDLE) {
            LogEvent.of("target_connection_failed")
                    .with("target", target.id())
                    .with("request", requestId)
                    .with("calls", callsCount)
                    .with("error", cause)
                    .info(log);
        }
        failCall("connection_failed", isFirstCallUnanswered() && !isTimeout(cause));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        boolean connectionAborted = isFirstCallUnanswered();
        state = State.CLOSED;
        failCall("connection_closed", connectionAborted);
        onClosed.accept(this);
        context.fireChannelInactive();
    }
}
