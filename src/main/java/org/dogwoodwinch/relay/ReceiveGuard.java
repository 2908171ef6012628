package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.util.Objects;
import java.util.function.IntPredicate;

/**
 * Asks for all bytes that arrive on a connection whether they may be decoded, and drops them otherwise.
 *
 * <p>Failure: the decoder of HTTP skips control characters before a head without a message, so that a connection on which
 * nothing else arrives is read without end and nobody notices.
 */
final class ReceiveGuard extends ChannelInboundHandlerAdapter {

    private final IntPredicate mayDecode;

    /**
     * Creates a guard.
     *
     * @param mayDecode receives the number of bytes that have arrived and returns whether they may be decoded, not null
     */
    ReceiveGuard(IntPredicate mayDecode) {
        this.mayDecode = Objects.requireNonNull(mayDecode, "mayDecode");
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes && !mayDecode.test(bytes.readableBytes())) {
            ReferenceCountUtil.release(message);
        } else {
            context.fireChannelRead(message);
        }
    }
}
