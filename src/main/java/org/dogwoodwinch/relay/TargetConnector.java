package org.dogwoodwinch.relay;

import io.netty.channel.ChannelHandler;
import org.dogwoodwinch.forwarding.Incarnation;

/** Opens connections to targets. */
@FunctionalInterface
public interface TargetConnector {

    /** Learns what came of opening a connection. */
    interface Outcome {

        /** The connection is open. */
        void connected();

        /** There is none, and no byte was written. */
        void failed();
    }

    /**
     * Opens a connection.
     *
     * @param target where to, not null
     * @param handler handles it, not null
     * @param outcome told once, at once or later, on the event loop, not null
     */
    void connect(Incarnation target, ChannelHandler handler, Outcome outcome);
}
