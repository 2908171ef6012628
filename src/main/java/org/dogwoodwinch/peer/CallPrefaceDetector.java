package org.dogwoodwinch.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import org.dogwoodwinch.http.Channels;
import org.dogwoodwinch.net.CallPreface;

/**
 * Finds out from the first bytes of a connection whether it carries messages or calls. For calls, the handlers of
 * messages are removed and the preface is repeated, which tells the other instance that it may write calls.
 */
final class CallPrefaceDetector extends ByteToMessageDecoder {

    private final List<ChannelHandler> messageHandlers;
    private final Consumer<Channel> callAcceptor;

    /**
     * Creates a detector.
     *
     * @param messageHandlers the handlers that follow this one and read messages, not null
     * @param callAcceptor adds the handlers that read calls to a channel, not null
     */
    CallPrefaceDetector(List<ChannelHandler> messageHandlers, Consumer<Channel> callAcceptor) {
        this.messageHandlers = List.copyOf(messageHandlers);
        this.callAcceptor = Objects.requireNonNull(callAcceptor, "callAcceptor");
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> _output) {
        if (input.readableBytes() < CallPreface.BYTES) {
            return;
        }
        if (CallPreface.isAtStartOf(input)) {
            input.skipBytes(CallPreface.BYTES);
            ChannelPipeline pipeline = context.pipeline();
            messageHandlers.forEach(pipeline::remove);
            // Before the handlers of calls are added, which write nothing but responses.
            Channels.logFailure(context.writeAndFlush(CallPreface.newBuffer()));
            callAcceptor.accept(context.channel());
        }
        context.pipeline().remove(this);
    }
}
