package org.dogwoodwinch.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.ssl.SslHandler;
import org.dogwoodwinch.time.TimeSource;

/**
 * Closes a connection so that its peer gets the last answer.
 *
 * <p>Closing at once while the peer still sends makes the kernel answer with a reset, and the peer loses the refusal that
 * it should have read. So the writing side closes first, and what still comes is thrown away for a moment.
 */
public final class LingeringClose {

    private static final long LINGER_MILLIS = 1_000;

    private LingeringClose() {}

    /**
     * Closes after everything written so far.
     *
     * @param context a context of the connection, not null
     * @param time runs the timer, not null
     */
    public static void afterWrites(ChannelHandlerContext context, TimeSource time) {
        Channel channel = context.channel();
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(_written -> closeWriting(channel, time));
    }

    private static void closeWriting(Channel channel, TimeSource time) {
        boolean encrypted = channel.pipeline().get(SslHandler.class) != null;
        if (encrypted || !(channel instanceof SocketChannel socket)) {
            Channels.close(channel);
            return;
        }
        Channels.logFailure(socket.shutdownOutput());
        time.schedule(LINGER_MILLIS, () -> Channels.close(channel));
    }
}
