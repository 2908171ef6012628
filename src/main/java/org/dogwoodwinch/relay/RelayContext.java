package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.Objects;
import java.util.function.IntSupplier;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.KvCacheIndex;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.RetryBudget;
import org.dogwoodwinch.forwarding.RetryPolicy;
import org.dogwoodwinch.forwarding.ServiceEntry;
import org.dogwoodwinch.forwarding.StreamStallCost;
import org.dogwoodwinch.forwarding.TargetChooser;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.forwarding.TargetIsolation;
import org.dogwoodwinch.forwarding.TargetPerformance;
import org.dogwoodwinch.forwarding.TargetRests;
import org.dogwoodwinch.time.TimeSource;

/**
 * The services that all relays of a process share.
 *
 * @param time clock and timers of the event loop, not null
 * @param callHeaders parses and builds HTTP headers, not null
 * @param connections pool of connections to targets, not null
 * @param chooser chooses targets, not null
 * @param control client of the engines' control interfaces, not null
 * @param loads tracks the calls under way at targets, not null
 * @param cacheIndex prompt segments in the KV caches of engines, not null
 * @param prefillRates estimated prefill rates of engines, not null
 * @param performance what is known of targets that are slow or fail calls, not null
 * @param stallCost the cost of prefilling beside streams, updated by the streams relayed here, not null
 * @param retryPolicy chooses the next step after a failed send, not null
 * @param budget limits retries, not null
 * @param suspicions tracks calls suspected of crashing targets, not null
 * @param segments holds back calls with prompt segments that crash targets, not null
 * @param health tracks targets that were recently unreachable, not null
 * @param statedLimits receives the rate limits that targets state in responses, not null
 * @param rests the targets that asked this instance for a rest, not null
 * @param connectionAborts tracks targets that close new connections without a response, not null
 * @param callStarts receives calls that began to run, not null
 * @param streamOrigins the software versions that began the streams of all instances, not null
 * @param isolation decides whether this instance is cut off from all targets, not null
 * @param crashProbe finds out whether a target has crashed at which a call was lost, not null
 * @param neighbours the calls that are passed on to other instances, not null
 * @param queue the calls that wait because targets have no capacity, not null
 * @param report receives decisions about calls for metrics and logs, not null
 * @param sharingInstancesCount supplies the number of instances that share a target's connections, evaluated on each
 *     use, not null
 */
record RelayContext(
        TimeSource time,
        CallHeaders callHeaders,
        TargetConnectionPool connections,
        TargetChooser chooser,
        EngineControl control,
        LoadTracker loads,
        KvCacheIndex cacheIndex,
        PrefillRates prefillRates,
        TargetPerformance performance,
        StreamStallCost stallCost,
        RetryPolicy retryPolicy,
        RetryBudget budget,
        Suspicions suspicions,
        SegmentGuard segments,
        TargetHealth health,
        StatedRateLimits statedLimits,
        TargetRests rests,
        ConnectionAborts connectionAborts,
        CallStarts callStarts,
        StreamOrigins streamOrigins,
        TargetIsolation isolation,
        CrashProbe crashProbe,
        NeighbourCalls neighbours,
        CallQueue queue,
        RelayReport report,
        IntSupplier sharingInstancesCount) {

    private static final long MIN_DEFERRED_AGE_MILLIS = 100;

    RelayContext {
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(callHeaders, "callHeaders");
        Objects.requireNonNull(connections, "connections");
        Objects.requireNonNull(chooser, "chooser");
        Objects.requireNonNull(control, "control");
        Objects.requireNonNull(loads, "loads");
        Objects.requireNonNull(cacheIndex, "cacheIndex");
        Objects.requireNonNull(prefillRates, "prefillRates");
        Objects.requireNonNull(performance, "performance");
        Objects.requireNonNull(stallCost, "stallCost");
        Objects.requireNonNull(retryPolicy, "retryPolicy");
        Objects.requireNonNull(budget, "budget");
        Objects.requireNonNull(suspicions, "suspicions");
        Objects.requireNonNull(segments, "segments");
        Objects.requireNonNull(health, "health");
        Objects.requireNonNull(statedLimits, "statedLimits");
        Objects.requireNonNull(rests, "rests");
        Objects.requireNonNull(connectionAborts, "connectionAborts");
        Objects.requireNonNull(callStarts, "callStarts");
        Objects.requireNonNull(streamOrigins, "streamOrigins");
        Objects.requireNonNull(isolation, "isolation");
        Objects.requireNonNull(crashProbe, "crashProbe");
        Objects.requireNonNull(neighbours, "neighbours");
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(report, "report");
        Objects.requireNonNull(sharingInstancesCount, "sharingInstancesCount");
    }

    /**
     * Returns the maximum number of connections from this instance to one target.
     *
     * <p>Failure: a target resets connections beyond its limit, and the calls on them may have run. The limit is
     * divided equally among all instances that may exist, so the sum cannot exceed it.
     */
    int connectionsPerTarget(ServiceEntry service) {
        return Math.max(1, service.maxConnectionsCount() / sharingInstancesCount.getAsInt());
    }

    /**
     * Continues a call after pending input from callers was read, if the call is old enough that its caller may have
     * disconnected. Younger calls continue at once.
     *
     * <p>Failure: a busy instance processes an engine's response a second late, while the disconnect of the caller is
     * still unread on its socket, and sends the call on although nobody waits for it. The event loop reads pending
     * input before it runs a deferred task. Callers disconnect after two seconds or more, or, with a short deadline,
     * after half of a latency objective.
     */
    void afterCallerReads(long callArrivalMillis, Runnable next) {
        if (time.monotonicMillis() - callArrivalMillis < MIN_DEFERRED_AGE_MILLIS) {
            next.run();
        } else {
            time.schedule(0, next);
        }
    }

    /** Records a response, which may show that another target now has the address of the one that was meant. */
    void recordResponse(String targetId, boolean misdirected) {
        if (misdirected) {
            report.targetUnreachable(targetId, health.recordUnreachable(targetId), "other_target_answers");
            suspicions.handleTargetLost(targetId);
        } else {
            connectionAborts.recordResponse(targetId);
        }
    }

    /** Records that a call was lost with its connection to a target. */
    void recordLoss(String targetId, boolean connectionAborted) {
        isolation.recordFailure(targetId, time.monotonicMillis());
        if (connectionAborted) {
            recordAbort(targetId);
        }
    }

    /** Records that a target accepted a connection and closed it without a response to the call. */
    private void recordAbort(String targetId) {
        report.targetUnreachable(targetId, connectionAborts.recordAbort(targetId), "broke_off");
    }

    /**
     * Records the rate limit that the head of a response states, and that a rest is over if it asks for none. A
     * response from another target at the same address is ignored, and the absence of a rate limit counts only in a
     * successful response.
     */
    void recordResponseHead(Incarnation target, ResponseAttributes attributes, long sentMillis) {
        if (attributes.restMillis().isEmpty()) {
            rests.recordAnswer(target, sentMillis);
        }
        if (!attributes.isMisdirected() && (attributes.rateLimitPerSecond().isPresent() || attributes.isSuccess())) {
            statedLimits.recordResponse(target, attributes.rateLimitPerSecond(), sentMillis);
        }
    }

    ByteBuf copy(byte[] bytes) {
        return Unpooled.wrappedBuffer(bytes);
    }
}
