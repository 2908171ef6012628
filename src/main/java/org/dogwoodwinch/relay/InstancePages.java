package org.dogwoodwinch.relay;

import io.netty.channel.Channel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.request.QuarantineEndpoint;

/** The pages of an instance for the load balancer and for operators. */
public final class InstancePages {

    private InstancePages() {}

    /**
     * Serves readiness checks such as those of the load balancer.
     *
     * @param transport the socket transport, not null
     * @param address the address to listen on, not null
     * @param ready supplies whether the instance is ready, evaluated on each request, not null
     * @return the listening channel
     * @throws IOException if the address cannot be bound
     */
    public static Channel listenReady(Transport transport, InetSocketAddress address, Supplier<Boolean> ready)
            throws IOException {
        return PageListener.bind(transport, address, _request -> {
            boolean now = ready.get();
            return new PageListener.Page(
                    now ? 200 : LocalResponses.UNAVAILABLE, "text/plain", now ? "ready" : "not ready");
        });
    }

    /**
     * Serves metrics in the Prometheus text format, and the operators' pages of the quarantine.
     *
     * @param transport the socket transport, not null
     * @param address the address to listen on, not null
     * @param metrics the metrics to serve, not null
     * @param quarantine lists and lifts what is held back, called on the event loop, not null
     * @return the listening channel
     * @throws IOException if the address cannot be bound
     */
    public static Channel listenMetrics(
            Transport transport, InetSocketAddress address, ForwardingMetrics metrics, QuarantineEndpoint quarantine)
            throws IOException {
        return PageListener.bind(transport, address, request -> {
            if (!request.path().startsWith(QuarantineEndpoint.LIST_PATH)) {
                return new PageListener.Page(200, "text/plain; version=0.0.4", metrics.text());
            }
            QuarantineEndpoint.Response response = quarantine.handle(request.method(), request.path(), request.body());
            return new PageListener.Page(response.status(), "application/json", response.body());
        });
    }
}
