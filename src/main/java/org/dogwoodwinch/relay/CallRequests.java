package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.CallOwner;
import org.dogwoodwinch.forwarding.ForwardingPlan;
import org.dogwoodwinch.forwarding.Incarnation;

/** Builds the requests that targets receive of one call. Confined to one event loop. */
final class CallRequests {

    private final RelayContext context;
    private final RoutedCall routed;
    private final long deadlineMillis;

    CallRequests(RelayContext context, RoutedCall routed) {
        this.context = Objects.requireNonNull(context, "context");
        this.routed = Objects.requireNonNull(routed, "routed");
        this.deadlineMillis = routed.call().deadlineMillis(routed.route(), routed.attributes());
    }

    /** Returns the request to an engine that only prefills the prompt. */
    OutboundCall forPrefill(Incarnation engine, ForwardingPlan.PrefillWork work, Optional<String> lastEventId) {
        return build(engine, work, true, Optional.empty(), lastEventId);
    }

    /** Returns the request to a target that runs the call, which may fetch the KV cache of an earlier prefill. */
    OutboundCall forRun(ForwardingPlan plan, Optional<KvCacheHandle> cacheHandle, Optional<String> lastEventId) {
        return build(plan.target(), plan.prefillWork(), false, cacheHandle, lastEventId);
    }

    private OutboundCall build(
            Incarnation target,
            ForwardingPlan.PrefillWork work,
            boolean prefillOnly,
            Optional<KvCacheHandle> cacheHandle,
            Optional<String> lastEventId) {
        SendAttributes sending = new SendAttributes(
                target,
                Math.max(1, deadlineMillis - context.time().monotonicMillis()),
                routed.attributes().prompt().map(_prompt -> work.level()),
                prefillOnly,
                cacheHandle,
                work.cacheSource().filter(context.chooser()::isCurrent),
                routed.owner().map(CallOwner::name),
                lastEventId);
        IncomingCall call = routed.call();
        HttpHeaders headers = context.callHeaders().targetHeaders(call.headers(), sending);
        return new OutboundCall(
                routed.attributes().requestId().orElse(""),
                call.method(),
                call.uri(),
                headers,
                call.body(),
                call.framed());
    }
}
