package org.dogwoodwinch.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Objects;
import java.util.Optional;
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
 * A request that was read gets a response, or its caller has left: the connection closes behind the response to the last
 * one, and nothing is read once it has decided to close.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements RequestExchange.Connection {

    private static final Logger log = LoggerFactory.getLogger(CallerConnection.class);

    /** Queued requests at which reading pauses; callers that pipeline send only a few. */
    private static final int MAX_QUEUED = 8;

    /**
     * Interval of the time-out checks. The header and idle time-outs are seconds long, so a tenth of the shorter one is
     * precise enough.
     */
    private static final long TIMEOUT_CHECK_MILLIS = 250;

    /** Between a task and a timer that it sets, the event loop reads what the kernel has received. */
    private static final long LAST_READ_MILLIS = 1;

    /** Why the connection closes. */
    private enum Close {
        /** Everything that was read is answered. */
        ANSWERED,
        /** A request cannot be read, and neither can what follows it. */
        UNREADABLE,
        /** A begun response is broken off. */
        ABORTED,
        /** The connection broke. */
        BROKEN
    }

    private final RequestHandler handler;
    private final TimeSource time;
    private final CallerTimes times;
    private final RequestReader reader;
    private final ReceiveLimiter receiveLimiter = new ReceiveLimiter();
    private final Deque<ReceivedRequest> queue = new ArrayDeque<>();

    private ChannelHandlerContext context;
    private Channel channel;
    private Cancellable timeoutCheck;
    private boolean unreadable;
    private boolean lastRequestRead;
    private boolean lastReadAwaited;
    private Optional<RequestExchange> current = Optional.empty();
    private Optional<Close> close = Optional.empty();

    CallerConnection(RequestHandler handler, TimeSource time) {
        this.handler = Objects.requireNonNull(handler, "handler");
        this.time = Objects.requireNonNull(time, "time");
        this.times = new CallerTimes(handler::limits, time);
        this.reader = new RequestReader(handler.bodyMemory(), times::limitsAtStart);
    }

    /** Returns whether the request under way asks for a response without a body. */
    boolean answersHeadRequest() {
        return current.map(RequestExchange::isHeadRequest).orElse(false);
    }

    private boolean isQuiet(long quietMillis) {
        return current.isEmpty() && queue.isEmpty() && times.isIdleFor(quietMillis);
    }

    /**
     * Closes the connection if no request is being read, queued or under way and none was for some time. What the kernel
     * has received by now is read first.
     *
     * <p>Failure: a request arrives while the event loop is busy, the connection is closed, and its caller cannot know
     * whether it ran.
     *
     * @param quietMillis the time since the last request, or since the connection was opened
     */
    void closeIfQuiet(long quietMillis) {
        if (close.isPresent() || lastReadAwaited || !isQuiet(quietMillis)) {
            return;
        }
        lastReadAwaited = true;
        time.schedule(LAST_READ_MILLIS, () -> {
            lastReadAwaited = false;
            if (isQuiet(quietMillis)) {
                close(Close.ANSWERED);
            }
        });
    }

    /**
     * Closes the connection in an orderly way. A request under way gets an error response, or is broken off if its response
     * has begun; those that are queued go to the handler, and the connection closes behind the last response.
     */
    void close() {
        endRequests(UnansweredRequest.Cause.STOP);
    }

    private void endRequests(UnansweredRequest.Cause cause) {
        if (close.isEmpty()) {
            stopReading();
        }
        current.ifPresent(exchange -> exchange.fail(cause));
        closeIfAllAnswered();
    }

    /** Reads no further request; what is read only shows whether the caller has left. */
    private void stopReading() {
        lastRequestRead = true;
        channel.config().setAutoRead(receiveLimiter.limit());
    }

    private void closeIfAllAnswered() {
        if (lastRequestRead && current.isEmpty() && queue.isEmpty()) {
            close(Close.ANSWERED);
        }
    }

    /** Closes the connection; no other code does. */
    private void close(Close reason) {
        if (!channel.isActive() || (close.isPresent() && reason != Close.ABORTED && reason != Close.BROKEN)) {
            return;
        }
        close = Optional.of(reason);
        if (reason == Close.UNREADABLE) {
            // The rest of the request is thrown away, since unread bytes would reset the connection.
            channel.config().setAutoRead(true);
        } else if (!lastRequestRead) {
            stopReading();
        }
        if (reason == Close.ANSWERED || reason == Close.UNREADABLE) {
            LingeringClose.afterWrites(context, time);
        } else {
            Channels.close(channel);
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        channel = added.channel();
        channel.config().setRecvByteBufAllocator(receiveLimiter);
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
            times.beginIdle();
            timeoutCheck = time.schedule(TIMEOUT_CHECK_MILLIS, this::checkTimeouts);
        }
    }

    /** Returns whether received bytes may belong to a request that gets a response. */
    boolean readsRequests() {
        return !lastRequestRead || unreadable;
    }

    /**
     * Records the arrival of bytes that are not decoded yet.
     *
     * @return whether a request begins with them
     */
    boolean bytesArrived() {
        boolean beginsRequest = !times.isRequestBegun();
        if (beginsRequest) {
            times.beginRequest();
        }
        if (!readsRequests()) {
            channel.config().setAutoRead(false);
        }
        return beginsRequest;
    }

    @Override
    public void channelRead(ChannelHandlerContext _context, Object message) {
        try {
            if (message instanceof HttpRequest request && !unreadable) {
                reader.readHead(request).ifPresentOrElse(this::unreadable, () -> expectBody(request));
            }
            if (message instanceof HttpContent content && !unreadable) {
                reader.readContent(content).ifPresent(this::unreadable);
                if (!unreadable && reader.isComplete(content)) {
                    ReceivedRequest.Complete complete = reader.take(times.requestStartMillis());
                    times.beginNextRequest();
                    received(complete);
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void expectBody(HttpRequest request) {
        if (HttpUtil.is100ContinueExpected(request) && current.isEmpty()) {
            Channels.writeAndFlush(
                    channel,
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext _context) {
        // All received bytes belonged to complete requests, so no request is being read.
        if (!isReadingRequest() && !unreadable) {
            times.endRequest();
        }
    }

    /** Returns whether a part of a request was read behind the complete ones. */
    private boolean isReadingRequest() {
        StrictRequestDecoder decoder = context.pipeline().get(StrictRequestDecoder.class);
        return reader.isInBody() || (decoder != null && decoder.hasBufferedBytes());
    }

    /**
     * Rejects a request that cannot be read. Whatever follows it on the connection cannot be interpreted, so the error
     * response is sent after those of earlier requests and the connection is closed.
     */
    private void unreadable(ReceivedRequest.Unreadable problem) {
        unreadable = true;
        reader.abandon();
        handler.recordRefusal(problem.status(), problem.reason());
        received(problem);
    }

    private void received(ReceivedRequest next) {
        if (close.isPresent()) {
            drop(next, UnansweredRequest.Cause.DROPPED_AT_CLOSE);
            return;
        }
        queue.addLast(next);
        if (queue.size() >= MAX_QUEUED) {
            channel.config().setAutoRead(false);
        }
        serveNext();
    }

    private void drop(ReceivedRequest dropped, UnansweredRequest.Cause cause) {
        if (dropped instanceof ReceivedRequest.Complete complete) {
            handler.recordUnanswered(new UnansweredRequest(complete.call(), cause, false));
        }
    }

    private void serveNext() {
        if (current.isPresent() || close.isPresent() || queue.isEmpty()) {
            return;
        }
        ReceivedRequest next = queue.pollFirst();
        if (!lastRequestRead && !channel.config().isAutoRead()) {
            channel.config().setAutoRead(true);
        }
        if (next instanceof ReceivedRequest.Unreadable problem) {
            answerUnreadable(problem);
            return;
        }
        RequestExchange exchange = new RequestExchange((ReceivedRequest.Complete) next, channel, handler, this);
        current = Optional.of(exchange);
        exchange.start();
    }

    private void answerUnreadable(ReceivedRequest.Unreadable problem) {
        Channels.write(channel, LocalResponses.beforeClose(problem.status(), problem.reason()));
        close(Close.UNREADABLE);
    }

    /** {@inheritDoc} Requests that were read behind the current one have to be answered before. */
    @Override
    public boolean closesAfterResponse() {
        boolean moreFollows = !queue.isEmpty() || (!lastRequestRead && isReadingRequest());
        return (lastRequestRead || handler.draining()) && !moreFollows;
    }

    @Override
    public void onCloseAnnounced() {
        if (receiveLimiter.isInUse()) {
            stopReading();
        }
    }

    @Override
    public void closeAfterResponse() {
        close(Close.ANSWERED);
    }

    @Override
    public void abort() {
        close(Close.ABORTED);
    }

    @Override
    public void onEnd(RequestExchange exchange) {
        reader.release(exchange.call());
        current = Optional.empty();
        times.beginIdle();
        recordIfUnanswered(exchange);
        if (channel.isActive() && close.isEmpty()) {
            // Deferred: a nested call would deepen the stack with each refused request that a caller pipelines.
            channel.eventLoop().execute(this::serveNext);
        }
    }

    private void recordIfUnanswered(RequestExchange exchange) {
        if (!exchange.isAnswered()) {
            handler.recordUnanswered(exchange.unanswered(UnansweredRequest.Cause.CALLER));
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext _context) {
        if (channel.isWritable()) {
            current.ifPresent(RequestExchange::onWritable);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext _context) {
        timeoutCheck.cancel();
        boolean closedHere = close.isPresent() && close.get() != Close.BROKEN;
        queue.forEach(dropped ->
                drop(dropped, closedHere ? UnansweredRequest.Cause.DROPPED_AT_CLOSE : UnansweredRequest.Cause.CALLER));
        queue.clear();
        current.ifPresent(RequestExchange::cancel);
        // The call released its own body when it ended; the rest belongs to requests that were queued or being read.
        reader.releaseAll();
    }

    /**
     * Ends what is under way. An error of the socket means that the caller has left; any other one is a fault of this
     * instance, for which requests that were read get error responses.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext _context, Throwable cause) {
        if (current.isPresent()) {
            LogEvent.of("caller_connection_failed").with("error", cause).info(log);
        }
        if (cause instanceof IOException) {
            close(Close.BROKEN);
            return;
        }
        if (reader.isInBody() && close.isEmpty()) {
            unreadable(new ReceivedRequest.Unreadable(LocalResponses.UNAVAILABLE, "not run: it could not be read"));
        }
        endRequests(UnansweredRequest.Cause.OWN_ERROR);
    }

    private void checkTimeouts() {
        if (!channel.isActive()) {
            return;
        }
        boolean headLate = !reader.isInBody() && current.isEmpty() && queue.isEmpty() && times.isHeadLate();
        if (headLate && !unreadable) {
            unreadable(new ReceivedRequest.Unreadable(LocalResponses.REQUEST_TIMEOUT, "head took too long"));
        } else {
            closeIfQuiet(times.idleTimeoutMillis());
        }
        timeoutCheck = time.schedule(TIMEOUT_CHECK_MILLIS, this::checkTimeouts);
    }
}
