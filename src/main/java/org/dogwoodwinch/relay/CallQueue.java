package org.dogwoodwinch.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.queueing.RoomEstimator;
import org.dogwoodwinch.time.TimeSource;

/**
 * The queues of all services at this instance. Only calls that have an owner are queued, so that nothing waits where the
 * configuration has no owners. Calls that another instance passed on are not queued, since that one's caller has waited
 * for it already. Confined to one event loop.
 */
final class CallQueue {

    private final Dependencies dependencies;
    private final Map<String, ServiceCallQueue> queuesByService = new HashMap<>();

    CallQueue(Dependencies dependencies) {
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
    }

    /**
     * Returns the place of a call that has arrived.
     *
     * @param routed the call, not null
     * @param deadlineMillis when the caller must have an answer, in monotonic milliseconds
     * @param fingerprint identifies equal calls of one caller
     * @return the place, which is closed when the call ends
     */
    QueuedCall placeOf(RoutedCall routed, long deadlineMillis, long fingerprint) {
        boolean isQueued = routed.owner().isPresent() && !routed.takenOver();
        Optional<ServiceCallQueue> queue = isQueued
                ? Optional.of(queuesByService.computeIfAbsent(
                        routed.service().name(), name -> new ServiceCallQueue(name, dependencies)))
                : Optional.empty();
        return new QueuedCall(queue, routed, deadlineMillis, fingerprint);
    }

    /** Refuses the waiting calls that are not expected to end before the instance ends its calls. */
    void refuseUnfinishable(long remainingMillis) {
        queuesByService.values().forEach(queue -> queue.refuseUnfinishable(remainingMillis));
    }

    int waitingCount() {
        return queuesByService.values().stream()
                .mapToInt(ServiceCallQueue::waitingCount)
                .sum();
    }

    /**
     * What the queues of all services share.
     *
     * @param room estimates the capacity of targets, not null
     * @param random spreads the returns of refused callers, not null
     * @param arePassedOn whether calls are passed on to other instances, not null
     * @param instancesCount the number of instances that send calls to the same targets, not null
     * @param metrics counters and histograms, not null
     * @param time clock and timers of the event loop, not null
     */
    record Dependencies(
            RoomEstimator room,
            UniformRandomProvider random,
            BooleanSupplier arePassedOn,
            IntSupplier instancesCount,
            ForwardingMetrics metrics,
            TimeSource time) {

        Dependencies {
            Objects.requireNonNull(room, "room");
            Objects.requireNonNull(random, "random");
            Objects.requireNonNull(arePassedOn, "arePassedOn");
            Objects.requireNonNull(instancesCount, "instancesCount");
            Objects.requireNonNull(metrics, "metrics");
            Objects.requireNonNull(time, "time");
        }
    }
}
