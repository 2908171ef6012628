package org.dogwoodwinch.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes to connections whose failure needs no answer: a broken one becomes inactive, and its handler hears of that. */
public final class Channels {

    private static final Logger log = LoggerFactory.getLogger(Channels.class);

    private Channels() {}

    /**
     * Writes without a flush.
     *
     * @param channel the connection, not null
     * @param message what is written, not null
     */
    public static void write(Channel channel, Object message) {
        logFailure(channel.write(message));
    }

    /**
     * Writes and flushes.
     *
     * @param channel the connection, not null
     * @param message what is written, not null
     */
    public static void writeAndFlush(Channel channel, Object message) {
        logFailure(channel.writeAndFlush(message));
    }

    /**
     * Closes.
     *
     * @param channel the connection, not null
     */
    public static void close(Channel channel) {
        logFailure(channel.close());
    }

    /**
     * Logs the failure of an operation that nobody waits for.
     *
     * @param future the operation, not null
     */
    public static void logFailure(ChannelFuture future) {
        if (future.isDone() && future.isSuccess()) {
            return;
        }
        future.addListener(done -> {
            if (!done.isSuccess()) {
                LogEvent.of("connection_broken").with("error", done.cause()).debug(log);
            }
        });
    }
}
