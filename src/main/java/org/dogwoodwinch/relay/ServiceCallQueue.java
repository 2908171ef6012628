package org.dogwoodwinch.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.queueing.Capacity;
import org.dogwoodwinch.queueing.FairQueue;
import org.dogwoodwinch.queueing.OfferOutcome;
import org.dogwoodwinch.queueing.OwnerShares;
import org.dogwoodwinch.queueing.QueueTurn;
import org.dogwoodwinch.queueing.RefusalReason;
import org.dogwoodwinch.queueing.ReleasePacer;
import org.dogwoodwinch.queueing.RetrySchedule;
import org.dogwoodwinch.queueing.Room;
import org.dogwoodwinch.queueing.RoomEstimator;
import org.dogwoodwinch.queueing.ServiceTimes;
import org.dogwoodwinch.queueing.Unmeetable;
import org.dogwoodwinch.queueing.UnsentWork;
import org.dogwoodwinch.queueing.WaitingCall;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The calls of one service that wait at this instance, and when they are sent. Confined to one event loop. */
final class ServiceCallQueue {

    private static final Logger log = LoggerFactory.getLogger(ServiceCallQueue.class);

    /** Interval at which waiting calls follow loads, targets and rests, none of which report their changes here. */
    private static final long TICK_MILLIS = 25;

    /** The time that a call is expected to take while no answer on its route was observed. */
    private static final long UNOBSERVED_COMPLETION_MILLIS = 1_500;

    private final String serviceName;
    private final CallQueue.Dependencies dependencies;
    private final OwnerShares shares = new OwnerShares();
    // The configuration has no weights of owners.
    private final FairQueue queue = new FairQueue(_owner -> 1, shares);
    private final ReleasePacer pacer = new ReleasePacer();
    private final ServiceTimes times = new ServiceTimes();
    private final RetrySchedule retries;
    private final RefusedCallers refusedCallers = new RefusedCallers();
    private final Map<Long, QueuedCall> callsById = new HashMap<>();
    private UnsentWork unsent = UnsentWork.NONE;
    private long nextId;
    private boolean isTicking;
    private boolean isReleaseScheduled;

    ServiceCallQueue(String serviceName, CallQueue.Dependencies dependencies) {
        this.serviceName = Objects.requireNonNull(serviceName, "serviceName");
        this.dependencies = Objects.requireNonNull(dependencies, "dependencies");
        this.retries = new RetrySchedule(dependencies.random());
    }

    ServiceTimes times() {
        return times;
    }

    int waitingCount() {
        return queue.size();
    }

    /** Returns the time since a moment in monotonic milliseconds. */
    long millisSince(long millis) {
        return nowMillis() - millis;
    }

    /** Releases a call at once if there is capacity and nothing waits, and otherwise queues or refuses it. */
    void enter(QueuedCall call) {
        long nowMillis = nowMillis();
        boolean isReturning = refusedCallers.takeReturn(call.fingerprint(), nowMillis);
        if (queue.isEmpty() && isReleasable(call, call.priority(), false, nowMillis)) {
            release(call, nowMillis);
            return;
        }
        WaitingCall offered = call.toWaiting(nextId++, times, isReturning);
        OfferOutcome outcome = queue.offer(offered, nowMillis);
        if (outcome instanceof OfferOutcome.Refused refused) {
            refuse(call, offered, refused.reason(), refused.expectedWaitMillis());
            return;
        }
        call.setWaiting(offered);
        callsById.put(offered.id(), call);
        event("call_queued", call, offered)
                .with("expectedWaitMillis", ((OfferOutcome.Queued) outcome).expectedWaitMillis())
                .info(log);
        releaseCalls();
        scheduleTick();
    }

    /** Removes a waiting call that has ended otherwise. */
    void remove(QueuedCall call) {
        queue.remove(call.waiting(), nowMillis());
        callsById.remove(call.waiting().id());
        updateMetrics();
    }

    /** Records that a released call counts in the load of a target, or has ended before. */
    void recordSent(QueuedCall call) {
        unsent = unsent.minusCall(call.isModelCall() ? call.occupiedRoom() : 0);
    }

    /** Releases waiting calls after the current event, because a call has ended. */
    void scheduleRelease() {
        if (!queue.isEmpty() && !isReleaseScheduled) {
            isReleaseScheduled = true;
            dependencies.time().schedule(0, () -> {
                isReleaseScheduled = false;
                releaseCalls();
            });
        }
    }

    /**
     * Refuses the waiting calls that are not expected to end in time.
     *
     * @param remainingMillis the time after which the instance ends its calls
     */
    void refuseUnfinishable(long remainingMillis) {
        for (QueuedCall call : List.copyOf(callsById.values())) {
            long observedMillis = times.completionMillis(call.route().name());
            long expectedMillis = observedMillis > 0 ? observedMillis : UNOBSERVED_COMPLETION_MILLIS;
            if (expectedMillis >= remainingMillis && queue.remove(call.waiting(), nowMillis())) {
                refuse(call, call.waiting(), RefusalReason.STOPPING, 0);
            }
        }
    }

    private void scheduleTick() {
        if (!isTicking && !queue.isEmpty()) {
            isTicking = true;
            dependencies.time().schedule(TICK_MILLIS, this::tick);
        }
    }

    private void tick() {
        isTicking = false;
        releaseCalls();
        scheduleTick();
    }

    private void releaseCalls() {
        long nowMillis = nowMillis();
        // The only waiting call is sent, if there is capacity, even if it is expected to be too late.
        boolean isUnmeetableRefused = queue.size() > 1;
        if (isUnmeetableRefused) {
            refuseUnmeetable(nowMillis);
        }
        while (!queue.isEmpty()) {
            QueueTurn turn = queue.next(nowMillis).orElseThrow();
            QueuedCall call = callsById.get(turn.call().id());
            boolean isLast = queue.size() == 1 && turn.call().latestReleaseMillis() <= nowMillis + TICK_MILLIS;
            if (!isReleasable(call, turn.capacityPriority(), !isLast && turn.capacityPriority() > 0, nowMillis)) {
                break;
            }
            if (turn.capacityPriority() > 0) {
                pacer.recordRelease(call.occupiedRoom());
            }
            queue.poll(nowMillis);
            callsById.remove(turn.call().id());
            dependencies.metrics().callWaited(nowMillis - call.arrivalMillis());
            event("call_released", call, turn.call())
                    .with("onShare", turn.isOnShare())
                    .info(log);
            release(call, nowMillis);
            isUnmeetableRefused = false;
        }
        if (!isUnmeetableRefused) {
            refuseUnmeetable(nowMillis);
        }
        updateMetrics();
    }

    private void refuseUnmeetable(long nowMillis) {
        for (Unmeetable each : queue.removeUnmeetable(nowMillis)) {
            refuse(
                    callsById.get(each.call().id()),
                    each.call(),
                    RefusalReason.DEADLINE_UNMEETABLE,
                    each.expectedWaitMillis());
        }
    }

    /**
     * Returns whether a call may be sent. A call that no target may receive, or that is passed on to another instance, does
     * not wait for capacity; the decisions that follow answer it.
     */
    private boolean isReleasable(QueuedCall call, int capacityPriority, boolean isPaced, long nowMillis) {
        Room room =
                dependencies.room().estimate(call.query(capacityPriority), unsent, call.ownerName(), shares, nowMillis);
        if (room.capacity() == Capacity.NO_TARGET || dependencies.arePassedOn().getAsBoolean()) {
            return true;
        }
        return room.capacity() == Capacity.AVAILABLE
                && (!isPaced
                        || pacer.mayRelease(
                                room,
                                RoomEstimator.TURNOVER_MILLIS,
                                dependencies.instancesCount().getAsInt(),
                                nowMillis));
    }

    private void release(QueuedCall call, long nowMillis) {
        shares.recordRelease(call.ownerName(), call.work(), nowMillis);
        unsent = unsent.plusCall(call.isModelCall() ? call.occupiedRoom() : 0);
        call.release(nowMillis);
    }

    private void refuse(QueuedCall call, WaitingCall waiting, RefusalReason reason, long expectedWaitMillis) {
        long nowMillis = nowMillis();
        callsById.remove(waiting.id());
        long retryAfterMillis = retries.reserve(waiting, queue.workPerMilli(waiting.priority(), nowMillis), nowMillis);
        refusedCallers.recordRefusal(call.fingerprint(), nowMillis + retryAfterMillis);
        String name = reason.name().toLowerCase(Locale.ROOT);
        dependencies.metrics().refused(LocalResponses.UNAVAILABLE, name);
        event("call_refused", call, waiting)
                .with("status", LocalResponses.UNAVAILABLE)
                .with("reason", name)
                .with("expectedWaitMillis", expectedWaitMillis)
                .with("retryAfterMillis", retryAfterMillis)
                .info(log);
        updateMetrics();
        call.refuse(retryAfterMillis);
    }

    private LogEvent event(String name, QueuedCall call, WaitingCall waiting) {
        return LogEvent.of(name)
                .with("request", call.requestId())
                .with("route", call.route().name())
                .with("service", serviceName)
                .with("owner", waiting.owner())
                .with("priority", waiting.priority())
                .with("work", waiting.work())
                .with("returning", waiting.isReturning())
                .with("waiting", queue.size())
                .with("ageMillis", millisSince(call.arrivalMillis()));
    }

    private void updateMetrics() {
        dependencies.metrics().setWaitingCalls(serviceName, queue.size());
    }

    private long nowMillis() {
        return dependencies.time().monotonicMillis();
    }
}
