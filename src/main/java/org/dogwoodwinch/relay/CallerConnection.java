package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
 * One connection of a caller: reads requests whole, hands them on one at a time in their order, and writes each answer.
 *
 * <p>It goes on reading while a call is under way, as only so it sees that the caller has left.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerSide {

    private static final Logger log = LoggerFactory.getLogger(CallerConnection.class);

    /** Requests read ahead of their turn after which reading pauses: callers that pipeline send a few. */
    private static final int MAX_QUEUED = 8;

    /** How often the times of a connection are looked at; both are seconds, so a tenth of the shortest suffices. */
    private static final long CHECK_MILLIS = 250;

    /** What reads on one connection: a request, or the reason for which reading ended. */
    private sealed interface Received {
        record Whole(IncomingCall call, boolean keepAlive, boolean http10) implements Received {}

        record Unreadable(int status, String reason) implements Received {}
    }

    private final CallerIntake intake;
    private final TimeSource time;
    private final CallerLimits limits;
    private final Deque<Received> queue = new ArrayDeque<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private ChannelHandlerContext context;
    private Channel channel;
    private Cancellable check;
    private HttpRequest reading;
    private long readingSinceMillis = -1;
    private long idleSinceMillis;
    private boolean unreadable;
    private int heldHere;
    private Received.Whole current;
    private OpenCall open = OpenCall.NONE;
    private boolean closing;

    CallerConnection(CallerIntake intake, TimeSource time, CallerLimits limits) {
        this.intake = Objects.requireNonNull(intake, "intake");
        this.time = Objects.requireNonNull(time, "time");
        this.limits = Objects.requireNonNull(limits, "limits");
    }

    /** Whether no request is being read, waiting or under way. */
    boolean idle() {
        return current == null && queue.isEmpty() && readingSinceMillis < 0;
    }

    /** Closes so that an answer on its way arrives. */
    void close() {
        if (!closing) {
            closeInOrder();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        channel = added.channel();
    }

    @Override
    public void channelActive(ChannelHandlerContext _context) {
        idleSinceMillis = time.monotonicMillis();
        check = time.schedule(CHECK_MILLIS, this::checkTimes);
    }

    /** Bytes arrived, before they are decoded. */
    void bytesArrived() {
        if (readingSinceMillis < 0) {
            readingSinceMillis = time.monotonicMillis();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext _context, Object message) {
        try {
            if (unreadable) {
                return;
            }
            if (message instanceof HttpRequest request) {
                head(request);
            }
            if (message instanceof HttpContent content && !unreadable) {
                content(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext _context) {
        // Bytes that were whole requests to their last one leave nothing to wait for.
        if (reading == null && !unreadable && decoderIdle()) {
            readingSinceMillis = -1;
        }
    }

    private boolean decoderIdle() {
        StrictRequestDecoder decoder = context.pipeline().get(StrictRequestDecoder.class);
        return decoder == null || !decoder.holdsBytes();
    }

    private void head(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            Throwable cause = request.decoderResult().cause();
            boolean tooLong = cause instanceof TooLongFrameException;
            unreadable(tooLong ? OwnAnswers.HEADERS_TOO_LARGE : OwnAnswers.BAD_REQUEST, "malformed head");
            return;
        }
        if (!RequestChecks.wellFormed(request)) {
            unreadable(OwnAnswers.BAD_REQUEST, "malformed request");
            return;
        }
        if (HttpUtil.getContentLength(request, 0L) > limits.maxBodyBytes()) {
            unreadable(OwnAnswers.TOO_LARGE, "body too large");
            return;
        }
        reading = request;
        body.reset();
        if (HttpUtil.is100ContinueExpected(request) && current == null) {
            Channels.writeAndFlush(
                    channel,
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void content(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            unreadable(OwnAnswers.BAD_REQUEST, "malformed body");
            return;
        }
        ByteBuf bytes = content.content();
        if (body.size() + bytes.readableBytes() > limits.maxBodyBytes()) {
            unreadable(OwnAnswers.TOO_LARGE, "body too large");
            return;
        }
        if (!intake.heldBytes().take(bytes.readableBytes())) {
            unreadable(OwnAnswers.UNAVAILABLE, "too many large requests");
            return;
        }
        heldHere += bytes.readableBytes();
        try {
            bytes.getBytes(bytes.readerIndex(), body, bytes.readableBytes());
        } catch (IOException e) {
            throw new IllegalStateException("memory cannot fail to take bytes", e);
        }
        if (content instanceof LastHttpContent) {
            whole();
        }
    }

    private void whole() {
        HttpRequest request = reading;
        reading = null;
        IncomingCall call = new IncomingCall(
                request.method(),
                request.uri(),
                request.headers(),
                Bytes.of(body.toByteArray()),
                HttpUtil.isContentLengthSet(request) || HttpUtil.isTransferEncodingChunked(request),
                readingSinceMillis);
        body.reset();
        readingSinceMillis = time.monotonicMillis();
        received(new Received.Whole(
                call, HttpUtil.isKeepAlive(request), request.protocolVersion().equals(HttpVersion.HTTP_1_0)));
    }

    /** After a malformed request the rest of the connection has no meaning: it is answered in its turn and closed. */
    private void unreadable(int status, String reason) {
        unreadable = true;
        reading = null;
        intake.refused(status, reason);
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
        current = (Received.Whole) next;
        OpenCall taken = intake.take(current.call(), this, this::callDone);
        if (current != null) {
            open = taken;
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
        closeInOrder();
    }

    private void closeInOrder() {
        closing = true;
        LingeringClose.afterWrites(context, time);
    }

    private void callDone() {
        open = OpenCall.NONE;
        release(current.call().body().length());
        current = null;
        idleSinceMillis = time.monotonicMillis();
        if (channel.isActive() && !closing) {
            // Not nested: a caller that pipelines many refused requests would deepen the stack with each.
            channel.eventLoop().execute(this::serveNext);
        }
    }

    private void release(int bytes) {
        heldHere -= bytes;
        intake.heldBytes().give(bytes);
    }

    private boolean closesAfterAnswer() {
        return !current.keepAlive() || current.http10() || intake.leaving();
    }

    @Override
    public void answer(int status, HttpHeaders headers, Bytes content) {
        boolean close = closesAfterAnswer();
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(content.toByteArray()),
                headers,
                EmptyHttpHeaders.INSTANCE);
        boolean bodyless = status == HttpResponseStatus.NO_CONTENT.code()
                || status == HttpResponseStatus.NOT_MODIFIED.code()
                || current.call().method().equals(HttpMethod.HEAD);
        if (!bodyless) {
            HttpUtil.setContentLength(response, content.length());
        }
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        Channels.writeAndFlush(channel, response);
        if (close) {
            closeInOrder();
        }
    }

    @Override
    public void begin(int status, HttpHeaders headers) {
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        if (!current.http10()) {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        if (closesAfterAnswer()) {
            closing = true;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        Channels.write(channel, response);
    }

    @Override
    public void piece(ByteBuf piece) {
        Channels.writeAndFlush(channel, new DefaultHttpContent(piece));
    }

    @Override
    public void complete() {
        Channels.writeAndFlush(channel, LastHttpContent.EMPTY_LAST_CONTENT);
        if (closing) {
            closeInOrder();
        }
    }

    @Override
    public void breakOff() {
        closing = true;
        Channels.close(channel);
    }

    @Override
    public boolean ready() {
        return channel.isWritable();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext _context) {
        if (channel.isWritable()) {
            open.callerReady();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext _context) {
        check.cancel();
        queue.clear();
        OpenCall gone = open;
        open = OpenCall.NONE;
        closing = true;
        gone.callerGone();
        // What the call held was given back as it ended; the rest were requests that waited or were being read.
        release(heldHere);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext _context, Throwable cause) {
        if (current != null) {
            LogEvent.of("caller_connection_failed").with("error", cause).info(log);
        }
        Channels.close(channel);
    }

    private void checkTimes() {
        if (!channel.isActive()) {
            return;
        }
        long nowMillis = time.monotonicMillis();
        boolean headLate = reading == null
                && readingSinceMillis >= 0
                && current == null
                && queue.isEmpty()
                && nowMillis - readingSinceMillis > limits.headerTimeoutMillis();
        boolean idleLate = idle() && nowMillis - idleSinceMillis > limits.idleTimeoutMillis();
        if (headLate && !unreadable) {
            unreadable(OwnAnswers.REQUEST_TIMEOUT, "head took too long");
        } else if (idleLate) {
            close();
        }
        check = time.schedule(CHECK_MILLIS, this::checkTimes);
    }
}
