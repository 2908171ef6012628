package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A request on a caller's connection and its one response. Confined to the event loop.
 *
 * <p>Failure: a handler throws an exception after it has begun to work. What it has begun answers later, and the caller
 * takes that for the response to its next request. Everything written after the end is therefore dropped.
 */
final class RequestExchange implements CallerResponse {

    private static final Logger log = LoggerFactory.getLogger(RequestExchange.class);

    /** Values of the socket option for closing: drop unsent bytes and reset, or send them in the background. */
    private static final int RESET_ON_CLOSE = 0;

    private static final int ORDERLY_CLOSE = -1;

    /** The connection on which the request arrived. */
    interface Connection {

        /** Returns whether the connection has to close after a response that is sent or begun now. */
        boolean closesAfterResponse();

        /** The head of a response has announced the close that follows its end. */
        void onCloseAnnounced();

        /** Closes after a complete response. */
        void closeAfterResponse();

        /** Closes at once. */
        void abort();

        /** The request has ended in any way; called once. */
        void onEnd(RequestExchange exchange);
    }

    private enum State {
        OPEN,
        BEGUN,
        ANSWERED,
        ABORTED
    }

    private final ReceivedRequest.Complete request;
    private final Channel channel;
    private final RequestHandler handler;
    private final Connection connection;
    private State state = State.OPEN;
    private ActiveCall activeCall = ActiveCall.NONE;
    private Optional<UnansweredRequest.Cause> abortCause = Optional.empty();
    private boolean handed;
    private boolean closesAtEnd;
    private boolean cancelled;
    private boolean ended;

    RequestExchange(ReceivedRequest.Complete request, Channel channel, RequestHandler handler, Connection connection) {
        this.request = Objects.requireNonNull(request, "request");
        this.channel = Objects.requireNonNull(channel, "channel");
        this.handler = Objects.requireNonNull(handler, "handler");
        this.connection = Objects.requireNonNull(connection, "connection");
    }

    IncomingCall call() {
        return request.call();
    }

    boolean isHeadRequest() {
        return call().method().equals(HttpMethod.HEAD);
    }

    /** Returns whether the complete response was written. */
    boolean isAnswered() {
        return state == State.ANSWERED;
    }

    /**
     * Returns the request as one without a complete response.
     *
     * @param otherwise the cause if the response was not broken off here, not null
     * @return the request with its cause
     */
    UnansweredRequest unanswered(UnansweredRequest.Cause otherwise) {
        boolean unsent = activeCall instanceof CallRelay relay && !relay.isSentOn();
        return new UnansweredRequest(call(), abortCause.orElse(otherwise), handed && !unsent);
    }

    /** Hands the request over to the handler. If that fails, the request is answered here. */
    void start() {
        handed = true;
        try {
            ActiveCall taken = handler.handle(call(), this, this::finish);
            if (!ended) {
                activeCall = taken;
            } else if (!channel.isActive()) {
                taken.onCallerClosed();
            }
        } catch (RuntimeException | Error e) {
            LogEvent.of("request_failed_here").with("error", e).warn(log);
            fail(UnansweredRequest.Cause.OWN_ERROR);
        }
    }

    /** The handler has ended the call. It must not end without a response while the caller waits for one. */
    private void finish() {
        if (!ended && state != State.ANSWERED && channel.isActive()) {
            failResponse(UnansweredRequest.Cause.OWN_ERROR);
        }
        end();
    }

    private void end() {
        if (!ended) {
            ended = true;
            connection.onEnd(this);
        }
    }

    /**
     * Ends the request here: with a response if none has begun, otherwise by breaking it off. The call is cancelled.
     *
     * @param cause why, if the response is broken off, not null
     */
    void fail(UnansweredRequest.Cause cause) {
        failResponse(cause);
        cancel();
    }

    private void failResponse(UnansweredRequest.Cause cause) {
        if (state == State.OPEN) {
            handler.recordRefusal(LocalResponses.BAD_GATEWAY, cause.label());
            LocalResponses.sendError(this, LocalResponses.BAD_GATEWAY, "may have run");
        } else if (state == State.BEGUN) {
            abort(cause);
        }
    }

    /** Cancels the call, as the connection has closed or the request has ended here. */
    void cancel() {
        if (cancelled || ended) {
            return;
        }
        cancelled = true;
        try {
            activeCall.onCallerClosed();
        } catch (RuntimeException | Error e) {
            LogEvent.of("request_failed_here").with("error", e).warn(log);
        }
        end();
    }

    void onWritable() {
        activeCall.onCallerWritable();
    }

    private boolean closesAfterResponse() {
        return !request.keepAlive() || request.http10() || connection.closesAfterResponse();
    }

    @Override
    public void sendResponse(int status, HttpHeaders headers, Bytes content) {
        if (state != State.OPEN || ended) {
            return;
        }
        state = State.ANSWERED;
        boolean close = closesAfterResponse();
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(content.toByteArray()),
                headers,
                EmptyHttpHeaders.INSTANCE);
        boolean bodyless = status == HttpResponseStatus.NO_CONTENT.code()
                || status == HttpResponseStatus.NOT_MODIFIED.code()
                || isHeadRequest();
        if (!bodyless) {
            HttpUtil.setContentLength(response, content.length());
        }
        if (close) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        watch(channel.writeAndFlush(response));
        if (close) {
            connection.closeAfterResponse();
        }
    }

    @Override
    public void beginResponse(int status, HttpHeaders headers) {
        if (state != State.OPEN || ended) {
            return;
        }
        state = State.BEGUN;
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), headers);
        if (request.http10()) {
            setResetOnClose(true);
        } else {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        closesAtEnd = closesAfterResponse();
        if (closesAtEnd) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            connection.onCloseAnnounced();
        }
        watch(channel.write(response));
    }

    @Override
    public void writeBody(ByteBuf chunk) {
        if (state != State.BEGUN || ended) {
            chunk.release();
            return;
        }
        watch(channel.writeAndFlush(new DefaultHttpContent(chunk)));
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
        if (state != State.BEGUN || ended) {
            return;
        }
        state = State.ANSWERED;
        if (request.http10()) {
            setResetOnClose(false);
        }
        watch(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
        if (closesAtEnd) {
            connection.closeAfterResponse();
        }
    }

    @Override
    public void abortResponse() {
        abort(UnansweredRequest.Cause.ABORTED_AFTER_BEGIN);
    }

    private void abort(UnansweredRequest.Cause cause) {
        if (state == State.ANSWERED || state == State.ABORTED || ended) {
            return;
        }
        state = State.ABORTED;
        abortCause = Optional.of(cause);
        connection.abort();
    }

    /**
     * Breaks the connection off if a part of the response could not be written although the connection is open.
     *
     * <p>Failure: memory for a part cannot be allocated, only that part is missing, and the response looks complete.
     */
    private void watch(ChannelFuture written) {
        if (!written.isDone() || !written.isSuccess()) {
            written.addListener(done -> {
                if (!done.isSuccess() && channel.isActive()) {
                    onWriteFailed(done.cause());
                }
            });
        }
    }

    private void onWriteFailed(Throwable cause) {
        LogEvent.of("request_failed_here").with("error", cause).warn(log);
        state = State.ABORTED;
        abortCause = Optional.of(UnansweredRequest.Cause.OWN_ERROR);
        if (ended) {
            handler.recordUnanswered(unanswered(UnansweredRequest.Cause.OWN_ERROR));
        }
        connection.abort();
    }

    @Override
    public boolean isWritable() {
        return channel.isWritable();
    }
}
