package org.dogwoodwinch.relay;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Objects;
import java.util.function.Consumer;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.http.Channels;

/**
 * A connection to a target that carries one call at a time. Confined to its event loop.
 *
 * <p>A target may answer a call twice, the second time late and cut off at any byte. So a response belongs to the call
 * that waits only if its head proves it ({@link HeadVerdict}). Bytes that arrive while no call waits, also behind a complete
 * response, close the connection. A whole response to an earlier call is skipped, and the connection is closed after the
 * call's own one. A call with an id that the connection has carried before is not sent on it.
 */
final class TargetConnection extends SimpleChannelInboundHandler<HttpObject> {

    private static final String TIMED_OUT = "timed out";

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
    private final TargetConnectionListener listener;
    private final CarriedCalls carried = new CarriedCalls();
    private final ResponseHeads heads;
    private final TargetConnectionLog log;
    private Channel channel;
    private State state = State.IDLE;
    private ResponseSink sink;
    private String requestId = "";
    private ChannelFuture writeFuture;
    private boolean isKept;
    private boolean failed;
    private boolean closedHere;
    private ResponseEnd responseEnd = ResponseEnd.CONNECTION;
    private int skippedCount;
    private SkippedAnswer skipped;
    private int interimCount;
    private long besideAnswerBytes;
    private long idleLimitMillis = Long.MAX_VALUE;
    private long idleSinceMillis;

    TargetConnection(
            Incarnation target, CallHeaders callHeaders, HeadVerdict.Judge judge, TargetConnectionListener listener) {
        this.target = Objects.requireNonNull(target, "target");
        this.callHeaders = Objects.requireNonNull(callHeaders, "callHeaders");
        this.heads = new ResponseHeads(callHeaders, judge, carried);
        this.listener = Objects.requireNonNull(listener, "listener");
        this.log = new TargetConnectionLog(target, carried);
    }

    /** Returns the handlers of the connection in their order. */
    ChannelHandler[] newHandlers() {
        return new ChannelHandler[] {
            new ReceiveGuard(this::mayDecode),
            new HttpRequestEncoder(),
            new TargetResponseDecoder(this::expectsBytes, this::handleStrayBytes, heads::isWithoutBody),
            this
        };
    }

    /** Returns whether the connection has carried a call with this id, whose answer may come a second time. */
    boolean hasCarried(String id) {
        return carried.contains(id);
    }

    boolean hasCarriedAny() {
        return carried.count() > 0;
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
        heads.awaitResponse(requestId);
        carried.add(requestId, call.method().equals(HttpMethod.HEAD));
        writeFuture = channel.writeAndFlush(call.toRequest());
    }

    /** Cancels the call by closing the connection, on which the target drops the work. */
    void abort() {
        sink = null;
        failed = true;
        close();
    }

    /**
     * Cancels a call whose answer exceeds its limit.
     *
     * @param kind what was too long, for logs, not null
     */
    void abortEndless(String kind) {
        log.endless(requestId, kind, besideAnswerBytes);
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
            handleStrayBytes();
            return false;
        }
        if (besideAnswerBytes > ReceiveLimits.MAX_BYTES_BESIDE_ANSWER) {
            failEndless(state == State.PASSING_OVER ? "answer_of_other" : "no_head");
            return false;
        }
        return true;
    }

    private boolean expectsBytes() {
        return !failed && (state == State.WAITING || state == State.RECEIVING || state == State.PASSING_OVER);
    }

    private void handleStrayBytes() {
        if (!failed) {
            log.stray(requestId, state.name());
            listener.repeated(this, "stray_bytes");
            failCall("stray_bytes");
        }
    }

    /** Fails the call as one that the target broke off, so that the target is left out for a while. */
    private void failEndless(String kind) {
        log.endless(requestId, kind, besideAnswerBytes);
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
        listener.heard();
        if (message.decoderResult().isFailure()) {
            failGarbled();
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
        int status = response.status().code();
        if (status == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            // Nobody asks for another protocol.
            failGarbled();
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            handleInterimHead(response);
            return;
        }
        if (heads.verdict() instanceof HeadVerdict.Unproved unproved) {
            refuseHead(unproved.reason(), status);
            return;
        }
        ResponseAttributes attributes = callHeaders.parseResponse(response);
        responseEnd = heads.expectedEnd(response);
        isKept = heads.allowReuse(response);
        idleLimitMillis = attributes.idleTimeoutMillis().orElse(Long.MAX_VALUE);
        listener.responseHead(attributes);
        if (heads.verdict() instanceof HeadVerdict.OfOtherCall other) {
            skipResponse(other.requestId());
            return;
        }
        state = State.RECEIVING;
        sink.onHead(attributes, response.headers());
    }

    private void handleInterimHead(HttpResponse response) {
        interimCount++;
        if (heads.hasInnerStatusLine()) {
            refuseHead(HeadVerdict.INNER_STATUS_LINE, response.status().code());
        } else if (interimCount > ReceiveLimits.MAX_INTERIM_HEADS) {
            failEndless("interim_heads");
        }
    }

    /** On a connection that has carried other calls, bytes that are no answer may be a part of a second answer to one. */
    private void failGarbled() {
        if (!carried.isFirst()) {
            listener.repeated(this, "garbled");
        }
        failCall("garbled");
    }

    private void refuseHead(String reason, int status) {
        log.unproved(requestId, reason, status, heads.statedIds());
        listener.repeated(this, reason);
        failUnproved("answer_not_proved");
    }

    private void skipResponse(String answeredId) {
        skippedCount++;
        log.skipped(requestId, answeredId);
        listener.repeated(this, "answer_of_other");
        if (skippedCount > ReceiveLimits.MAX_SKIPPED_ANSWERS || !isKept) {
            failUnproved("answers_of_others");
            return;
        }
        skipped = new SkippedAnswer(requestId);
        state = State.PASSING_OVER;
    }

    private void skipContent(HttpContent content) {
        if (skipped.holdsOwnAnswer(content)) {
            log.swallowed(requestId);
            failUnproved("answer_swallowed");
        } else if (content instanceof LastHttpContent) {
            state = State.WAITING;
        }
    }

    private void handleContent(HttpContent content) {
        if (failed) {
            return;
        }
        if (state == State.PASSING_OVER) {
            skipContent(content);
            return;
        }
        if (state != State.RECEIVING) {
            return;
        }
        boolean last = content instanceof LastHttpContent;
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
        isKept &= skippedCount == 0 && writeFuture.isDone() && writeFuture.isSuccess();
        if (!isKept) {
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
        if (state == State.SETTLING && channel.isActive() && isKept && !failed) {
            state = State.IDLE;
            channel.config().setAutoRead(true);
            listener.idle(this);
        }
        context.fireChannelReadComplete();
    }

    private void failCall(String reason) {
        failCall(reason, false);
    }

    private void failCall(String reason, boolean connectionAborted) {
        endCall(waiting -> waiting.onLost(reason, connectionAborted));
    }

    private void failUnproved(String reason) {
        endCall(waiting -> waiting.onUnproved(reason));
    }

    private void endCall(Consumer<ResponseSink> notification) {
        ResponseSink waitingSink = sink;
        sink = null;
        failed = true;
        close();
        if (waitingSink != null) {
            notification.accept(waitingSink);
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
        return state == State.WAITING && carried.isFirst();
    }

    /**
     * Fails the call. A reset is not an orderly close: a response without a length that ends with one must not be
     * treated as complete.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext _context, Throwable cause) {
        if (sink != null || state != State.IDLE) {
            log.failed(requestId, cause);
        }
        failCall("connection_failed", isFirstCallUnanswered() && !isTimeout(cause));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        boolean connectionAborted = isFirstCallUnanswered();
        state = State.CLOSED;
        failCall("connection_closed", connectionAborted);
        listener.closed(this);
        context.fireChannelInactive();
    }
}
