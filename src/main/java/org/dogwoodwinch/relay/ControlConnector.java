package org.dogwoodwinch.relay;

import io.netty.channel.ChannelHandler;
import java.net.InetSocketAddress;

/** Opens connections for control calls. */
@FunctionalInterface
public interface ControlConnector {

    /**
     * Opens a connection.
     *
     * @param address the address of the server, not null
     * @param handler the channel handler of the connection, not null
     * @param outcome notified once on the event loop, possibly before this method returns, not null
     */
    void connect(InetSocketAddress address, ChannelHandler handler, TargetConnector.Outcome outcome);
}
