package org.dogwoodwinch.relay;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Objects;
import org.dogwoodwinch.net.Transport;

/** Opens connections for control calls over TCP, all on one event loop. */
final class TcpControlConnector implements ControlConnector {

    private final Transport transport;
    private final EventLoop loop;
    private final ConnectionPolicy policy;

    /**
     * Creates a connector.
     *
     * @param transport the socket transport, not null
     * @param loop the event loop of all connections, not null
     * @param policy time-outs of the connections, not null
     */
    TcpControlConnector(Transport transport, EventLoop loop, ConnectionPolicy policy) {
        this.transport = Objects.requireNonNull(transport, "transport");
        this.loop = Objects.requireNonNull(loop, "loop");
        this.policy = Objects.requireNonNull(policy, "policy");
    }

    @Override
    public void connect(InetSocketAddress address, ChannelHandler handler, TargetConnector.Outcome outcome) {
        ChannelFuture connecting = transport
                .newClient(loop, policy.connectTimeoutMillis(), policy.unacknowledgedMillis())
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
