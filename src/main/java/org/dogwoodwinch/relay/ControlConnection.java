package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.http.Channels;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection that carries one control call at a time. Confined to its event loop.
 *
 * <p>Nothing in an answer names its question, so the connection alone ties them: an answer belongs to the question that
 * was written last if nothing else is due. A server that answers a question twice breaks this rule for the next one.
 * The connection is therefore kept only if no byte follows an answer in the turn of the event loop in which the answer
 * was read.
 */
final class ControlConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private static final Logger log = LoggerFactory.getLogger(ControlConnection.class);

    /** The body, its head, and as much again as the chunks of a sound body add to it. */
    private static final long MAX_RECEIVED_BYTES =
            2L * ReceiveLimits.MAX_CONTROL_BODY_BYTES + ReceiveLimits.MAX_HEADER_BYTES;

    /** Control answers state neither a request id nor a signature, so any other status line in a head counts. */
    private static final String WITHOUT_ID = "";

    private final InetSocketAddress address;
    private final Consumer<ControlConnection> onIdle;
    private Channel channel;
    private ControlExchange current;
    private ControlReply.Answered answer;
    private boolean isAnswerFollowed;
    private boolean keepAlive;
    private long receivedBytes;
    private int interimCount;
    private int callsCount;
    private String path = "";

    /**
     * Creates a connection that is not open yet.
     *
     * @param address the address of the server, not null
     * @param onIdle receives the connection when it can carry another call, not null
     */
    ControlConnection(InetSocketAddress address, Consumer<ControlConnection> onIdle) {
        this.address = Objects.requireNonNull(address, "address");
        this.onIdle = Objects.requireNonNull(onIdle, "onIdle");
    }

    /** Returns the handler that installs the connection in a channel. */
    ChannelHandler newInitializer() {
        return new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel opened) {
                opened.pipeline()
                        .addLast(
                                new ReceiveGuard(ControlConnection.this::mayDecode),
                                new HttpRequestEncoder(),
                                new TargetResponseDecoder(
                                        ControlConnection.this::isAnswerExpected,
                                        ControlConnection.this::recordStrayBytes,
                                        _head -> false),
                                new HttpObjectAggregator(ReceiveLimits.MAX_CONTROL_BODY_BYTES),
                                ControlConnection.this);
            }
        };
    }

    InetSocketAddress address() {
        return address;
    }

    boolean isOpen() {
        return channel.isActive();
    }

    /** Ends the connection of a call that has timed out: what still arrives is no answer to it. */
    private void abandon() {
        current = null;
        answer = null;
        close();
    }

    void close() {
        Channels.close(channel);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        channel = context.channel();
    }

    /**
     * Sends a call. No other call may be under way.
     *
     * @param exchange the call, not null
     */
    void send(ControlExchange exchange) {
        current = exchange;
        receivedBytes = 0;
        interimCount = 0;
        callsCount++;
        exchange.recordSent(this::abandon);
        ControlRequest call = exchange.request();
        path = new QueryStringDecoder(call.uri()).rawPath();
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                call.method(),
                call.uri(),
                Unpooled.wrappedBuffer(call.body().toByteArray()));
        request.headers().set(call.headers());
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        HttpUtil.setContentLength(request, call.body().length());
        Channels.writeAndFlush(channel, request);
    }

    /** Returns whether bytes may belong to an answer; the connection is closed if they do not. */
    private boolean mayDecode(int bytes) {
        receivedBytes += bytes;
        if (current != null && receivedBytes <= MAX_RECEIVED_BYTES) {
            return true;
        }
        if (channel.isActive()) {
            logBytesWithoutAnswer(current == null ? "idle" : "control");
            close();
        }
        return false;
    }

    private void logBytesWithoutAnswer(String kind) {
        LogEvent.of("bytes_without_answer")
                .with("target", address)
                .with("path", path)
                .with("calls", callsCount)
                .with("kind", kind)
                .with("bytes", receivedBytes)
                .warn(log);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext _context, FullHttpResponse response) {
        if (current == null) {
            close();
        } else if (response.decoderResult().isFailure()) {
            refuseAnswer("garbled");
        } else if (callsCount > 1
                && ResponseIdentity.of(response, WITHOUT_ID, WITHOUT_ID).innerStatusLine() != InnerStatusLine.NONE) {
            refuseAnswer(HeadVerdict.INNER_STATUS_LINE);
        } else if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            countInterimHead();
        } else {
            Bytes body = Bytes.of(ByteBufUtil.getBytes(response.content()));
            answer = new ControlReply.Answered(response.status().code(), response.headers(), body);
            keepAlive = HttpUtil.isKeepAlive(response);
        }
    }

    private boolean isAnswerExpected() {
        return current != null && answer == null;
    }

    private void recordStrayBytes() {
        isAnswerFollowed = true;
    }

    private void countInterimHead() {
        interimCount++;
        if (interimCount > ReceiveLimits.MAX_INTERIM_HEADS) {
            refuseAnswer("interim_heads");
        }
    }

    /** Delivers an answer only after all received bytes were processed, since stray bytes may follow it. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        deliverAnswer();
        context.fireChannelReadComplete();
    }

    private void deliverAnswer() {
        if (answer == null) {
            return;
        }
        Optional<String> refusal = findRefusal();
        if (refusal.isPresent()) {
            refuseAnswer(refusal.get());
            return;
        }
        if (isAnswerFollowed) {
            logBytesWithoutAnswer("after_answer");
        }
        endCall(answer, keepAlive && !isAnswerFollowed);
    }

    /**
     * Returns why the answer is not believed. The first answer on a connection is believed, since nothing else was asked
     * there. A later one that more bytes follow may be a second answer to an earlier call, and the own one be what
     * follows it.
     */
    private Optional<String> findRefusal() {
        if (callsCount == 1) {
            return Optional.empty();
        }
        return isAnswerFollowed
                ? Optional.of("bytes_after_answer")
                : current.check().findContradiction(answer);
    }

    private void refuseAnswer(String reason) {
        LogEvent.of("control_answer_refused")
                .with("target", address)
                .with("path", path)
                .with("reason", reason)
                .with("calls", callsCount)
                .warn(log);
        endCall(new ControlReply.Lost(reason), false);
    }

    /** Keeps or closes the connection first, since the caller may ask again at once. */
    private void endCall(ControlReply outcome, boolean isReusable) {
        ControlExchange ended = current;
        current = null;
        answer = null;
        if (isReusable) {
            onIdle.accept(this);
        } else {
            close();
        }
        ended.end(outcome);
    }

    @Override
    public void channelInactive(ChannelHandlerContext _context) {
        failCall("connection_closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext _context, Throwable cause) {
        failCall("connection_failed: " + cause);
    }

    /** Closes the connection. An answer that was complete before is still delivered. */
    private void failCall(String reason) {
        deliverAnswer();
        if (current == null) {
            close();
        } else {
            endCall(new ControlReply.Lost(reason), false);
        }
    }
}
