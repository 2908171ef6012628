package org.dogwoodwinch.relay;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import java.util.Objects;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.net.Addresses;
import org.dogwoodwinch.net.Transport;

/** Opens connections to targets over TCP. */
public final class TcpTargetConnector implements TargetConnector {

    private final Transport transport;
    private final ConnectionPolicy policy;

    /**
     * Creates a connector.
     *
     * @param transport the socket transport, not null
     * @param policy time-outs of the connections, not null
     */
    public TcpTargetConnector(Transport transport, ConnectionPolicy policy) {
        this.transport = Objects.requireNonNull(transport, "transport");
        this.policy = Objects.requireNonNull(policy, "policy");
    }

    @Override
    public void connect(Incarnation target, ChannelHandler handler, Outcome outcome) {
        ChannelFuture connecting = transport
                .newClient(
                        transport.eventLoopGroup().next(), policy.connectTimeoutMillis(), policy.unacknowledgedMillis())
                .handler(handler)
                .connect(Addresses.of(target.host(), target.port()));
        connecting.addListener(_done -> {
            if (connecting.isSuccess()) {
                outcome.connected();
            } else {
                outcome.failed();
            }
        });
    }
}
