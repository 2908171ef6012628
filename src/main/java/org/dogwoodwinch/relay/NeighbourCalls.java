package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.Neighbour;
import org.dogwoodwinch.forwarding.NeighbourChooser;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.UnreachableNeighbours;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The calls that this instance passes on to others while it is cut off from all targets, or for want of connections.
 * The instance that takes over a call decides about it as about its own: route, key, quarantine, retry budget, limits
 * and the choice of targets. Confined to one event loop.
 */
final class NeighbourCalls {

    private static final Logger log = LoggerFactory.getLogger(NeighbourCalls.class);

    /** Marks a call that was sent to a target before and that the instance that passes it on has counted. */
    private static final AsciiString COUNTED = AsciiString.cached("x-dogwoodwinch-counted");

    private final Neighbours neighbours;
    private final NeighbourChooser chooser;
    private final LinkProbe linkProbe;
    private final UnreachableNeighbours unreachable = new UnreachableNeighbours();
    private final BooleanSupplier isIsolated;
    private final CallHeaders callHeaders;
    private final TimeSource time;
    private final ForwardingMetrics metrics;
    private final TargetConnectionPool connections;
    private final Map<String, Integer> callsByName = new HashMap<>();

    NeighbourCalls(
            Neighbours neighbours,
            UniformRandomProvider random,
            BooleanSupplier isIsolated,
            CallHeaders callHeaders,
            TimeSource time,
            ConnectionPolicy policy,
            ForwardingMetrics metrics) {
        this.neighbours = Objects.requireNonNull(neighbours, "neighbours");
        this.chooser = new NeighbourChooser(neighbours.ownDataCentre(), random);
        this.isIsolated = Objects.requireNonNull(isIsolated, "isIsolated");
        this.callHeaders = Objects.requireNonNull(callHeaders, "callHeaders");
        this.time = Objects.requireNonNull(time, "time");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.linkProbe = new LinkProbe(neighbours, random, time);
        this.connections = new TargetConnectionPool(
                neighbours.connector(),
                callHeaders,
                HeadVerdict::ofInstance,
                time,
                policy,
                _name -> true,
                TargetConnectionPool.Events.NONE,
                (_neighbour, _attributes) -> {});
    }

    /** Returns what measures the delay of this instance's own link. */
    LinkProbe linkProbe() {
        return linkProbe;
    }

    /** Returns whether calls of callers are passed on now: this instance is cut off, and another one is not. */
    boolean arePassedOn() {
        return isIsolated.getAsBoolean() && canTakeOver();
    }

    /** Returns whether another instance may take over a call of this one. */
    boolean canTakeOver() {
        return chooser.canChoose(
                neighbours.others().get(), neighbours.isolatedNames().get(), this::callsAt);
    }

    /**
     * Passes a call on.
     *
     * @param call the call, not null
     * @param caller writes the response to the caller, not null
     * @param retryAfterMillis when a caller that is refused may come back
     * @param onDone run exactly once, when the call has ended in any way, not null
     * @return the call under way
     */
    ActiveCall passOn(PassedOnCall call, CallerResponse caller, long retryAfterMillis, Runnable onDone) {
        NeighbourRelay relay = new NeighbourRelay(this, call, caller, retryAfterMillis, onDone);
        relay.start();
        return relay;
    }

    /** Chooses an instance for a call, without those that could not take it over. */
    Optional<Neighbour> choose(Set<String> triedNames) {
        return chooser.choose(
                neighbours.others().get(),
                neighbours.isolatedNames().get(),
                triedNames,
                unreachable.names(time.monotonicMillis()),
                this::callsAt);
    }

    private int callsAt(String name) {
        return callsByName.getOrDefault(name, 0);
    }

    void acquire(Neighbour neighbour, String requestId, TargetConnectionPool.AcquireCallback callback) {
        unreachable.recordTried(neighbour.name(), time.monotonicMillis());
        connections.acquire(
                asTarget(neighbour),
                requestId,
                NeighbourChooser.MAX_CALLS_PER_NEIGHBOUR,
                new TargetConnectionPool.AcquireCallback() {
                    @Override
                    public void acquired(TargetConnection connection) {
                        unreachable.recordReached(neighbour.name());
                        callback.acquired(connection);
                    }

                    @Override
                    public void notAcquired(String reason) {
                        if (reason.equals(TargetConnectionPool.CONNECT_FAILED)) {
                            unreachable.recordUnreachable(neighbour.name(), time.monotonicMillis());
                        }
                        callback.notAcquired(reason);
                    }
                });
    }

    void release(TargetConnection connection) {
        connections.release(connection);
    }

    /** Builds the request to the other instance; {@code counted} tells whether an instance has counted the call. */
    OutboundCall outbound(PassedOnCall passedOn, boolean counted, long remainingMillis) {
        IncomingCall call = passedOn.call();
        HttpHeaders headers = callHeaders.neighbourHeaders(call.headers(), passedOn.key(), remainingMillis);
        if (counted) {
            headers.set(COUNTED, "true");
        } else {
            headers.remove(COUNTED);
        }
        return new OutboundCall(passedOn.requestId(), call.method(), call.uri(), headers, call.body(), call.framed());
    }

    /** Removes the mark of a call that another instance has counted from its headers, and returns whether it was there. */
    static boolean takeCounted(HttpHeaders headers) {
        boolean counted = headers.contains(COUNTED);
        headers.remove(COUNTED);
        return counted;
    }

    CallHeaders callHeaders() {
        return callHeaders;
    }

    TimeSource time() {
        return time;
    }

    /** Records that this instance would refuse a call for want of connections, and what becomes of the call. */
    void recordWithoutConnection(CallAttributes attributes, CallPassing.Refusal refusal) {
        String next = refusal.name().toLowerCase(Locale.ROOT);
        metrics.callWithoutConnection(next);
        LogEvent.of("call_without_connection")
                .with("request", attributes.requestId().orElse(""))
                .with("next", next)
                .info(log);
    }

    void recordBegin(PassedOnCall call, Neighbour neighbour, int attemptsCount) {
        callsByName.merge(neighbour.name(), 1, Integer::sum);
        LogEvent.of("call_passed_on")
                .with("request", call.requestId())
                .with("reason", call.reason().name().toLowerCase(Locale.ROOT))
                .with("neighbour", neighbour.name())
                .with("attempts", attemptsCount)
                .info(log);
    }

    void recordEnd(String requestId, Neighbour neighbour, String outcome, long ageMillis) {
        callsByName.computeIfPresent(neighbour.name(), (_name, count) -> count > 1 ? count - 1 : null);
        recordEnd(requestId, neighbour.name(), outcome, ageMillis);
    }

    /** Records that no instance took a call over. */
    void recordGivenUp(String requestId, long ageMillis) {
        recordEnd(requestId, "", "given_up", ageMillis);
    }

    private void recordEnd(String requestId, String neighbourName, String outcome, long ageMillis) {
        metrics.callPassedOn(outcome);
        LogEvent.of("passed_on_call_ended")
                .with("request", requestId)
                .with("neighbour", neighbourName)
                .with("outcome", outcome)
                .with("ageMillis", ageMillis)
                .info(log);
    }

    /** Returns a neighbour as a destination of connections. */
    static Incarnation asTarget(Neighbour neighbour) {
        return new Incarnation(
                neighbour.name(),
                "",
                neighbour.host(),
                neighbour.port(),
                neighbour.dataCentre(),
                1,
                false,
                Stage.WHOLE,
                0);
    }
}
