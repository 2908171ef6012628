package org.dogwoodwinch.target.http;

import java.util.Objects;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.ServiceClient;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetClientFactory;
import org.dogwoodwinch.time.TimeSource;

/** Creates clients of targets over HTTP. */
public final class HttpTargetClientFactory implements TargetClientFactory {

    private final HttpClients clients;
    private final HttpCaller pooledCaller;
    private final HttpCaller freshCaller;
    private final TimeSource time;
    private final TargetTimeouts timeouts;

    /**
     * Creates a factory.
     *
     * @param clients send the calls, not null; not closed by this class
     * @param time runs the timers, not null
     * @param timeouts the timeouts of the calls, not null
     */
    public HttpTargetClientFactory(HttpClients clients, TimeSource time, TargetTimeouts timeouts) {
        this.clients = Objects.requireNonNull(clients, "clients");
        this.time = Objects.requireNonNull(time, "time");
        this.timeouts = Objects.requireNonNull(timeouts, "timeouts");
        this.pooledCaller = clients.pooledCaller(timeouts.maxAnswerBytes());
        this.freshCaller = clients.freshCaller(timeouts.maxAnswerBytes());
    }

    @Override
    public EngineClient engineClient(Target target) {
        return clients.engine(target, time, timeouts);
    }

    @Override
    public ServiceClient serviceClient(Target target) {
        return new HttpServiceClient(pooledCaller, freshCaller, target);
    }
}
