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
 * One plain service's target over HTTP.
 *
 * <p>A call that changes something goes over a fresh connection: on a pooled one, the target's own idle close can cross
 * the call on the way, and the caller would be told "may have run" for a call that never arrived. A fresh connection
 * costs a round trip, and its failure to be made proves that nothing was sent.
 */
public final class HttpServiceClient implements ServiceClient {

    private static final Set<String> SAFE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

    private final HttpCaller pooledCaller;
    private final HttpCaller freshCaller;
    private final String baseUrl;

    /**
     * Creates a client.
     *
     * @param pooledCaller sends calls that are safe to repeat, not null
     * @param freshCaller sends the others, each over a connection of its own, not null
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
