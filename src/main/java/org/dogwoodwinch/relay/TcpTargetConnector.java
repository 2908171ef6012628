package org.dogwoodwinch.relay;

import io.netty.channel.ChannelHandler;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.net.Addresses;
import org.dogwoodwinch.net.Transport;

/** Opens connections to targets over TCP. */
public final class TcpTargetConnector implements TargetConnector {

    private final TcpConnector connector;

    /**
     * Creates a connector.
     *
     * @param transport the socket transport, not null
     * @param policy time-outs of the connections, not null
     */
    public TcpTargetConnector(Transport transport, ConnectionPolicy policy) {
        this.connector = new TcpConnector(transport, transport.eventLoopGroup(), policy);
    }

    @Override
    public void connect(Incarnation target, ChannelHandler handler, Outcome outcome) {
        connector.connect(Addresses.of(target.host(), target.port()), handler, outcome);
    }
}
