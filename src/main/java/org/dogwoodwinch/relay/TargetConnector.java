package org.dogwoodwinch.relay;

import io.netty.channel.ChannelHandler;
import org.dogwoodwinch.forwarding.Incarnation;

/** Opens connections to targets. */
@FunctionalInterface
public interface TargetConnector {

    /** Receives the outcome of opening a connection. */
    interface Outcome {

        /** The connection was opened. */
        void connected();

        /** The connection could not be opened, and no byte was written. */
        void failed();
    }

    /**
     * Opens a connection.
     *
     * @param target the target to connect to, not null
     * @param handler the channel handler of the connection, not null
     * @param outcome notified once on the event loop, possibly before this method returns, not null
     */
    void connect(Incarnation target, ChannelHandler handler, Outcome outcome);
}
