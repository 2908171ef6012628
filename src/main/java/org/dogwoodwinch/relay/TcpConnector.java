package org.dogwoodwinch.relay;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Objects;
import org.dogwoodwinch.net.Transport;

/** Opens connections over TCP. */
final class TcpConnector implements ControlConnector {

    private final Transport transport;
    private final EventLoopGroup loops;
    private final ConnectionPolicy policy;

    /**
     * Creates a connector.
     *
     * @param transport the socket transport, not null
     * @param loops the event loops of which each connection gets one, not null
     * @param policy time-outs of the connections, not null
     */
    TcpConnector(Transport transport, EventLoopGroup loops, ConnectionPolicy policy) {
        this.transport = Objects.requireNonNull(transport, "transport");
        this.loops = Objects.requireNonNull(loops, "loops");
        this.policy = Objects.requireNonNull(policy, "policy");
    }

    @Override
    public void connect(InetSocketAddress address, ChannelHandler handler, TargetConnector.Outcome outcome) {
        ChannelFuture connecting = transport
                .newClient(loops, policy.connectTimeoutMillis(), policy.unacknowledgedMillis())
                .handler(handler)
                .connect(address);
        connecting.addListener(_done -> {
            if (connecting.isSuccess()) {
                outcome.connected();
            } else {
                outcome.failed();
            }
        });
    }
}
