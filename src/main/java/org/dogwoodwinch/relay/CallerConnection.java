package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.CallerLimits;
import org.dogwoodwinch.http.Channels;
import org.dogwoodwinch.http.LingeringClose;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection from a caller. Reads complete requests, passes them to the {@link RequestHandler} one at a time in
 * order of arrival, and writes the responses.
 *
 * <p>It keeps reading while a call is under way, since that is the only way to detect that the caller has disconnected.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerResponse {

    private static final Logger log = LoggerFactory.getLogger(CallerConnection.class);

    /** Queued requests at which reading pauses; callers that pipeline send only a few. */
    private static final int MAX_QUEUED = 8;

    /**
     * Interval of the time-out checks. The header and idle time-outs are seconds long, so a tenth of the shorter one is
     * precise enough.
     */
    private static final long TIMEOUT_CHECK_MILLIS = 250;

    /** Values of the socket option for closing: drop unsent bytes and reset, or send them in the background. */
    private static final int RESET_ON_CLOSE = 0;

    private static final int ORDERLY_CLOSE = -1;

    /** A complete request, or the reason why no more requests are read from the connection. */
    private sealed interface Received {
        record Request(IncomingCall call, boolean keepAlive, boolean http10) implements Received {}

        record Unreadable(int status, String reason) implements Received {}
    }

    private final RequestHandler handler;
    private final TimeSource time;
    private final CallerLimits limits;
    private final Deque<Received> queue = new ArrayDeque<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private ChannelHandlerContext context;
    private Channel channel;
    private Cancellable timeoutCheck;
    private HttpRequest pendingHead;
    private long requestStartMillis = -1;
    private long idleSinceMillis;
    private boolean unreadable;
    private int reservedBytes;
    private Received.Request current;
    private ActiveCall activeCall = ActiveCall.NONE;
    private boolean closing;

    CallerConnection(RequestHandler handler, TimeSource time, CallerLimits limits) {
        this.handler = Objects.requireNonNull(handler, "handler");
        this.time = Objects.requireNonNull(time, "time");
        this.limits = Objects.requireNonNull(limits, "limits");
    }

    /** Returns whether the request under way asks for a response without a body. */
    boolean answersHeadRequest() {
        return current != null && current.call().method().equals(HttpMethod.HEAD);
    }

    /** Returns whether no request is being read, queued or under way. */
    boolean isIdle() {
        return current == null && queue.isEmpty() && requestStartMillis < 0;
    }

    /** Closes the connection after pending writes, so that a response under way still arrives. */
    void close() {
        if (!closing) {
            closeGracefully();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        channel = added.channel();
        if (channel.isActive()) {
            begin();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext _context) {
        begin();
    }

    /** Begins once, as a connection of another instance is active before it turns out to carry calls. */
    private void begin() {
        if (timeoutCheck == null) {
            idleSinceMillis = time.monotonicMillis();
            timeoutCheck = time.schedule(TIMEOUT_CHECK_MILLIS, this::checkTimeouts);
        }
    }

    /** Records the arrival of bytes that are not decoded yet. */
    void bytesArrived() {
        if (requestStartMillis < 0) {
            requestStartMillis = time.monotonicMillis();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext _context, Object message) {
        try {
            if (unreadable) {
                return;
            }
            if (message instanceof HttpRequest request) {
                handleHead(request);
            }
            if (message instanceof HttpContent content && !unreadable) {
                handleContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext _context) {
        // All received bytes belonged to complete requests, so no request is being read.
        if (pendingHead == null && !unreadable && isDecoderEmpty()) {
            requestStartMillis = -1;
        }
    }

    private boolean isDecoderEmpty() {
        StrictRequestDecoder decoder = context.pipeline().get(StrictRequestDecoder.class);
        return decoder == null || !decoder.hasBufferedBytes();
    }

    private void handleHead(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            Throwable cause = request.decoderResult().cause();
            boolean tooLong = cause instanceof TooLongFrameException;
            unreadable(tooLong ? LocalResponses.HEADERS_TOO_LARGE : LocalResponses.BAD_REQUEST, "malformed head");
            return;
        }
        if (!RequestValidator.isWellFormed(request)) {
            unreadable(LocalResponses.BAD_REQUEST, "malformed request");
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            unreadable(LocalResponses.TOO_LARGE, "body too large");
            return;
        }
        pendingHead = request;
        body.reset();
        if (HttpUtil.is100ContinueExpected(request) && current == null) {
            Channels.writeAndFlush(
                    channel,
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void handleContent(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            unreadable(LocalResponses.BAD_REQUEST, "malformed body");
            return;
        }
        ByteBuf bytes = content.content();
        if (body.size() + bytes.readableBytes() > limits.maxBodyBytes()) {
            unreadable(LocalResponses.TOO_LARGE, "body too large");
            return;
        }
        if (!handler.bodyMemory().tryReserve(bytes.readableBytes())) {
            unreadable(LocalResponses.UNAVAILABLE, "too many large requests");
            return;
        }
        reservedBytes += bytes.readableBytes();
        try {
            bytes.getBytes(bytes.readerIndex(), body, bytes.readableBytes());
        } catch (IOException e) {
            throw new IllegalStateException("writing to a byte array failed", e);
        }
        if (content instanceof LastHttpContent) {
            completeRequest();
        }
    }

    private void completeRequest() {
        HttpRequest request = pendingHead;
        pendingHead = null;
        IncomingCall call = new IncomingCall(
                request.method(),
                request.uri(),
                request.headers(),
                Bytes.of(body.toByteArray()),
                HttpUtil.isContentLengthSet(request) || HttpUtil.isTransferEncodingChunked(request),
                requestStartMillis);
        body.reset();
        requestStartMillis = time.monotonicMillis();
        received(new Received.Request(
                call, HttpUtil.isKeepAlive(request), request.protocolVersion().equals(HttpVersion.HTTP_1_0)));
    }

    /**
     * Rejects a request that cannot be read. Whatever follows it on the connection cannot be interpreted, so the error
     * response is sent after those of earlier requests and the connection is closed.
     */
    private void unreadable(int status, String reason) {
        unreadable = true;
        pendingHead = null;
        handler.recordRefusal(status, reason);
        received(new Received.Unreadable(status, reason));
    }

    private void received(Received next) {
        queue.addLast(next);
        if (queue.size() >= MAX_QUEUED) {
            channel.config().setAutoRead(false);
        }
        serveNext();
    }

    private void serveNext() {
        if (current != null || closing || queue.isEmpty()) {
            return;
        }
        Received next = queue.pollFirst();
        if (!channel.config().isAutoRead()) {
            channel.config().setAutoRead(true);
        }
        if (next instanceof Received.Unreadable problem) {
            answerUnreadable(problem);
            return;
        }
        current = (Received.Request) next;
        ActiveCall taken = handler.handle(current.call(), this, this::callDone);
        if (current != null) {
            activeCall = taken;
        }
    }

    private void answerUnreadable(Received.Unreadable problem) {
        closing = true;
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(problem.status()),
                Unpooled.wrappedBuffer(Bytes.ofUtf8(problem.reason()).toByteArray()));
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        HttpUtil.setContentLength(response, response.content().readableBytes());
        Channels.write(channel, response);
        closeGracefully();
    }

    private void closeGracefully() {
        closing = true;
        LingeringClose.afterWrites(context, time);
    }

    private void callDone() {
        activeCall = ActiveCall.NONE;
        release(current.call().body().length());
        current = null;
        idleSinceMillis = time.monotonicMillis();
        if (channel.isActive() && !closing) {
            // Deferred: a nested call would deepen the stack with each refused request that a caller pipelines.
            channel.eventLoop().execute(this::serveNext);
        }
    }

    private void release(int bytes) {
        reservedBytes -= bytes;
        handler.bodyMemory().release(bytes);
    }

    private boolean closesAfterAnswer() {
        return !current.keepAlive() || current.http10() || handler.draining();
    }

    @Override
    public void sendResponse(int status, HttpHeaders headers, Bytes content) {
        boolean close = closesAfterAnswer();
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(content.toByteArray()),
                headers,
                EmptyHttpHeaders.INSTANCE);
        boolean bodyless = status == HttpResponseStatus.NO_CONTENT.code()
                || status == HttpResponseStatus.NOT_MODIFIED.code()
                || answersHeadRequest();
        if (!bodyless) {
            HttpUtil.setContentLength(response, content.length());
        }
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        Channels.writeAndFlush(channel, response);
        if (close) {
            closeGracefully();
        }
    }

    @Override
    public void beginResponse(int status, HttpHeaders headers) {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        if (current.http10()) {
            setResetOnClose(true);
        } else {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        if (closesAfterAnswer()) {
            closing = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        Channels.write(channel, response);
    }

    @Override
    public void writeBody(ByteBuf chunk) {
        Channels.writeAndFlush(channel, new DefaultHttpContent(chunk));
    }

    /**
     * Sets whether any close of the connection, also the one at the end of this process, resets it. To a caller of
     * HTTP/1.0 an orderly close is the end of the body, so a response that was broken off would look complete.
     */
    private void setResetOnClose(boolean reset) {
        channel.config().setOption(ChannelOption.SO_LINGER, reset ? RESET_ON_CLOSE : ORDERLY_CLOSE);
    }

    @Override
    public void endResponse() {
        if (current.http10()) {
            setResetOnClose(false);
        }
        Channels.writeAndFlush(channel, LastHttpContent.EMPTY_LAST_CONTENT);
        if (closing) {
            closeGracefully();
        }
    }

    @Override
    public void abortResponse() {
        closing = true;
        Channels.close(channel);
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext _context) {
        if (channel.isWritable()) {
            activeCall.onCallerWritable();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext _context) {
        timeoutCheck.cancel();
        queue.clear();
        ActiveCall closedCall = activeCall;
        activeCall = ActiveCall.NONE;
        closing = true;
        closedCall.onCallerClosed();
        // The call released its own body when it ended; the rest belongs to requests that were queued or being read.
        release(reservedBytes);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext _context, Throwable cause) {
        if (current != null) {
            LogEvent.of("caller_connection_failed").with("error", cause).info(log);
        }
        Channels.close(channel);
    }

    private void checkTimeouts() {
        if (!channel.isActive()) {
            return;
        }
        long nowMillis = time.monotonicMillis();
        boolean headLate = pendingHead == null
                && requestStartMillis >= 0
                && current == null
                && queue.isEmpty()
                && nowMillis - requestStartMillis > limits.headerTimeoutMillis();
        boolean idleLate = isIdle() && nowMillis - idleSinceMillis > limits.idleTimeoutMillis();
        if (headLate && !unreadable) {
            unreadable(LocalResponses.REQUEST_TIMEOUT, "head took too long");
        } else if (idleLate) {
            close();
        }
        timeoutCheck = time.schedule(TIMEOUT_CHECK_MILLIS, this::checkTimeouts);
    }
}
