package org.dogwoodwinch.target.http;

import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.ServiceCall;
import org.dogwoodwinch.target.ServiceClient;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetReply;

/**
 * Calls one target of a plain service over HTTP.
 *
 * <p>Calls whose method is not safe use a new connection. The target may close a pooled connection as idle while a call
 * is being written to it; the caller would then get "may have run" for a call that never arrived. A new connection
 * costs one round trip, and a failed connection attempt proves that nothing was sent.
 */
public final class HttpServiceClient implements ServiceClient {

    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    private final HttpCaller pooledCaller;
    private final HttpCaller freshCaller;
    private final String baseUrl;

    /**
     * Creates a client.
     *
     * @param pooledCaller sends calls with safe methods over pooled connections, not null
     * @param freshCaller sends all other calls, each over a new connection, not null
     * @param target the target, not null
     */
    public HttpServiceClient(HttpCaller pooledCaller, HttpCaller freshCaller, Target target) {
        this.pooledCaller = Objects.requireNonNull(pooledCaller, "pooled");
        this.freshCaller = Objects.requireNonNull(freshCaller, "fresh");
        this.baseUrl = "http://" + target.address();
    }

    @Override
    public CompletionStage<TargetReply<ServiceAnswer>> call(ServiceCall call) {
        HttpCaller caller = SAFE_METHODS.contains(call.method()) ? pooledCaller : freshCaller;
        return caller.call(
                call.method(), baseUrl + call.path(), call.contentType(), call.body(), call.remainingMillis());
    }
}
