package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.dogwoodwinch.forwarding.ForwardingPlan;
import org.dogwoodwinch.forwarding.Incarnation;

/**
 * The prefill of one call's prompt on another engine than the one that runs the call, and the KV cache that it leaves
 * there. Confined to one event loop.
 *
 * <p>Done once per call, since each remote prefill is one more request to a target: the next attempt lets the target that
 * runs the call prefill it.
 */
final class CallPrefill {

    private final RelayContext context;
    private final RoutedCall routed;
    private final CallAttempts attempts;
    private final CallRetries retries;
    private final CallSuspicion suspicion;
    private final BiConsumer<Incarnation, PrefillOutcome> onOutcome;
    private Optional<RemotePrefill> underWay = Optional.empty();
    private Optional<KvCacheHandle> cacheHandle = Optional.empty();
    private Incarnation cacheHolder;

    /**
     * Creates a prefill that sends nothing before {@link #start}.
     *
     * @param context the services that all relays share, not null
     * @param routed the call, not null
     * @param attempts the attempts made for the call, not null
     * @param retries counts the call for the retry budget, not null
     * @param suspicion decides whether the call may be sent, not null
     * @param onOutcome receives the engine and the outcome, unless {@link #release} is called before, not null
     */
    CallPrefill(
            RelayContext context,
            RoutedCall routed,
            CallAttempts attempts,
            CallRetries retries,
            CallSuspicion suspicion,
            BiConsumer<Incarnation, PrefillOutcome> onOutcome) {
        this.context = Objects.requireNonNull(context, "context");
        this.routed = Objects.requireNonNull(routed, "routed");
        this.attempts = Objects.requireNonNull(attempts, "attempts");
        this.retries = Objects.requireNonNull(retries, "retries");
        this.suspicion = Objects.requireNonNull(suspicion, "suspicion");
        this.onOutcome = Objects.requireNonNull(onOutcome, "onOutcome");
    }

    /**
     * Sends the prompt to an engine.
     *
     * @param engine the engine that prefills the prompt, not null
     * @param work the tokens to prefill and their queue level, not null
     * @param outbound supplies the request to the engine, evaluated when it is sent, not null
     */
    void start(Incarnation engine, ForwardingPlan.PrefillWork work, Supplier<OutboundCall> outbound) {
        attempts.recordRemotePrefill();
        RemotePrefill started = new RemotePrefill(
                context,
                routed.service(),
                engine,
                routed.attributes().prompt().orElseThrow(),
                work,
                () -> suspicion.refusal().isEmpty(),
                outcome -> handleOutcome(engine, outcome));
        underWay = Optional.of(started);
        String requestId = routed.attributes().requestId().orElse("");
        started.start(requestId, routed.call().arrivalMillis(), outbound, retries::recordWritten);
    }

    private void handleOutcome(Incarnation engine, PrefillOutcome outcome) {
        underWay = Optional.empty();
        if (outcome instanceof PrefillOutcome.Completed read) {
            cacheHandle = Optional.of(read.cacheHandle());
            cacheHolder = engine;
        } else if (outcome instanceof PrefillOutcome.NotSent notSent) {
            attempts.recordUnsentPrefill(engine.id(), notSent.reason());
        } else if (outcome instanceof PrefillOutcome.Failed failed) {
            if (failed.connectionLost()) {
                suspicion.recordPrefillLost(engine);
            }
            attempts.recordNotRun();
            attempts.recordSent(engine.id());
        }
        onOutcome.accept(engine, outcome);
    }

    /** Returns the engine that prefills the prompt now; empty if none does. */
    Optional<Incarnation> engine() {
        return underWay.map(RemotePrefill::engine);
    }

    /** Returns the KV cache that the target that runs the call fetches; empty if there is none. */
    Optional<KvCacheHandle> cacheHandle() {
        return cacheHandle;
    }

    /** Returns the engine that holds the KV cache. */
    Incarnation cacheHolder() {
        return cacheHolder;
    }

    /** Records that the KV cache is fetched by a target, which can be done only once. */
    void recordCacheUsed() {
        cacheHandle = Optional.empty();
    }

    /** Cancels a prefill that is under way and releases a KV cache that was not used. */
    void release() {
        underWay.ifPresent(RemotePrefill::cancel);
        // A KV cache that is never fetched would stay allocated on the prefill target until it expires.
        cacheHandle.ifPresent(unused -> context.control().releaseCache(cacheHolder, unused));
    }
}
