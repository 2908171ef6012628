package org.dogwoodwinch.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.dogwoodwinch.catalogue.CatalogueView;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;

/**
 * Admits requests within their owners' limits from bounded queues by class of work.
 *
 * <p>Urgent and standard requests are ordered by deadline and refused as soon as the deadline is estimated to be
 * unreachable. Long reads wait until their deadline and are guaranteed a minimum share of the started work.
 *
 * <p>Requests are queued here rather than on targets. A target does not reorder its queue and still computes requests
 * whose deadline has passed, whereas a request dropped from a queue here uses no target time.
 *
 * <p>Thread-safe: decisions are made under this object's monitor, and listeners are called outside it.
 */
public final class QueueingAdmissionController implements AdmissionController {

    private static final long MIN_RETRY_AFTER_MILLIS = 200;
    private static final long MAX_RETRY_AFTER_MILLIS = 5_000;
    private static final long NO_TARGET_RETRY_AFTER_MILLIS = 1_000;

    private final AdmissionPolicy policy;
    private final CapacityEstimator capacityEstimator;
    private final IntSupplier liveInstanceCount;
    private final OwnerLimits ownerLimits;
    private final TimeSource time;
    private final Map<String, GroupQueues> queuesByGroup = new HashMap<>();
    private final LimitQueue limitQueue;
    private final DecisionQueue decisions = new DecisionQueue();
    private boolean sweepScheduled;

    /**
     * Creates an admission controller.
     *
     * @param policy the queue capacities, thresholds and intervals, not null
     * @param catalogue the catalogue in force, which holds the limits of owners and entries, not null
     * @param limitShares shares those limits among the instances, not null
     * @param capacityEstimator estimates the capacity of target groups, not null
     * @param liveInstanceCount returns the number of live instances, used to estimate how fast this instance's queues
     *     drain, not null
     * @param time the clock, not null
     */
    public QueueingAdmissionController(
            AdmissionPolicy policy,
            CatalogueView catalogue,
            LimitShareExchange limitShares,
            CapacityEstimator capacityEstimator,
            IntSupplier liveInstanceCount,
            TimeSource time) {
        this.policy = Objects.requireNonNull(policy, "policy");
        this.capacityEstimator = Objects.requireNonNull(capacityEstimator, "capacityEstimator");
        this.liveInstanceCount = Objects.requireNonNull(liveInstanceCount, "liveInstanceCount");
        this.time = Objects.requireNonNull(time, "time");
        this.ownerLimits = new OwnerLimits(catalogue, limitShares, time);
        this.limitQueue = new LimitQueue(policy.limitQueueCapacity());
    }

    @Override
    public Cancellable admit(CallerRequest request, Consumer<AdmissionDecision> decisionListener) {
        long nowMillis = time.monotonicMillis();
        WaitingRequest waiting = new WaitingRequest(request, decisionListener, limitDeadlineMillis(request, nowMillis));
        synchronized (this) {
            processArrival(waiting, nowMillis);
        }
        deliverDecisions();
        return () -> cancel(waiting);
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number of requests queued for any group or any limit
     */
    public synchronized int waitingRequestCount() {
        int count = limitQueue.snapshot().size();
        for (GroupQueues queues : queuesByGroup.values()) {
            for (WorkClass workClass : WorkClass.values()) {
                count += queues.requests(workClass).size();
            }
        }
        return count;
    }

    private long limitDeadlineMillis(CallerRequest request, long nowMillis) {
        return request.entry().workClass() == WorkClass.LONG_READ
                ? request.deadlineMillis()
                : Math.min(request.deadlineMillis(), nowMillis + policy.maxLimitWaitMillis());
    }

    private void processArrival(WaitingRequest waiting, long nowMillis) {
        Optional<Refusal> refusal =
                refusalIfInfeasible(waiting, queuesOf(waiting).workAheadMillis(waiting.workClass()), nowMillis);
        if (refusal.isPresent()) {
            refuse(waiting, refusal.get());
        } else if (limitQueue.hasEarlierOfSameEntry(waiting)) {
            enqueueForLimit(waiting, RefusalReason.CONCURRENCY_LIMIT, "owner", MIN_RETRY_AFTER_MILLIS);
        } else {
            acquireOrEnqueueForLimit(waiting);
        }
        scheduleSweep();
    }

    private void acquireOrEnqueueForLimit(WaitingRequest waiting) {
        OwnerLimits.Acquired result = ownerLimits.tryAcquire(waiting.request(), waiting.maxTotalTokens());
        if (result instanceof OwnerLimits.Acquired.Success success) {
            waiting.setPermit(success.permit());
            enqueueForGroup(waiting);
        } else {
            LimitScope.LimitReached limitReached = ((OwnerLimits.Acquired.Failure) result).limitReached();
            enqueueForLimit(waiting, limitReached.reason(), limitReached.scope(), limitReached.retryAfterMillis());
        }
    }

    private void enqueueForLimit(WaitingRequest waiting, RefusalReason reason, String scope, long retryAfterMillis) {
        if (limitQueue.hasCapacity(waiting)) {
            limitQueue.add(waiting);
        } else {
            refuse(waiting, Refusal.notRun(reason, "limit of " + scope + " is exhausted", retryAfterMillis));
        }
    }

    private void enqueueForGroup(WaitingRequest waiting) {
        GroupQueues queues = queuesOf(waiting);
        if (!queues.hasCapacity(waiting.workClass())) {
            String detail = "queue for work class " + waiting.workClass() + " is full";
            refuse(waiting, Refusal.notRun(RefusalReason.QUEUE_FULL, detail, estimateRetryAfterMillis(waiting)));
            return;
        }
        capacityEstimator
                .estimateCapacity(waiting.group())
                .ifPresent(estimate ->
                        waiting.setWorkMillis(estimate.workMillis(waiting.promptTokens(), waiting.maxTokens())));
        queues.add(waiting);
    }

    /**
     * Returns the refusal of a request whose deadline has passed or cannot be met, or that has no target; empty if the
     * request may start or keep waiting. Long reads are refused only when their deadline has passed.
     */
    private Optional<Refusal> refusalIfInfeasible(WaitingRequest waiting, double workAheadMillis, long nowMillis) {
        long remainingMillis = waiting.request().remainingMillis(nowMillis);
        if (remainingMillis == 0) {
            return Optional.of(
                    Refusal.notRun(RefusalReason.DEADLINE_PASSED, "deadline passed before the request started", 0));
        }
        if (waiting.workClass() == WorkClass.LONG_READ) {
            return Optional.empty();
        }
        Optional<GroupCapacity> estimate = capacityEstimator.estimateCapacity(waiting.group());
        if (estimate.isEmpty()) {
            String detail = "no target of group " + waiting.group() + " accepts new work";
            return Optional.of(Refusal.notRun(RefusalReason.NO_TARGET, detail, NO_TARGET_RETRY_AFTER_MILLIS));
        }
        double waitMillis = estimateQueueWaitMillis(workAheadMillis, estimate.get());
        double neededMillis = waitMillis
                + policy.completionSafetyFactor()
                        * estimate.get().completionMillis(waiting.promptTokens(), waiting.maxTokens());
        if (neededMillis <= remainingMillis) {
            return Optional.empty();
        }
        String detail = "estimated completion time is " + Math.round(neededMillis) + " ms, but the deadline is in "
                + remainingMillis + " ms";
        return Optional.of(
                Refusal.notRun(RefusalReason.DEADLINE_UNMEETABLE, detail, estimateRetryAfterMillis(waiting)));
    }

    private double estimateQueueWaitMillis(double workAheadMillis, GroupCapacity estimate) {
        double targetsPerInstance = estimate.availableTargets() / (double) Math.max(1, liveInstanceCount.getAsInt());
        return workAheadMillis / (1 - policy.longReadFloorRatio()) / Math.max(0.1, targetsPerInstance);
    }

    private long estimateRetryAfterMillis(WaitingRequest waiting) {
        double queueMillis = capacityEstimator
                .estimateCapacity(waiting.group())
                .map(estimate ->
                        estimateQueueWaitMillis(queuesOf(waiting).workAheadMillis(waiting.workClass()), estimate))
                .orElse(0.0);
        return Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, Math.round(queueMillis)));
    }

    private GroupQueues queuesOf(WaitingRequest waiting) {
        return queuesByGroup.computeIfAbsent(waiting.group(), _group -> new GroupQueues(policy));
    }

    private void refuse(WaitingRequest waiting, Refusal refusal) {
        waiting.markSettled();
        if (waiting.permit() != null) {
            waiting.permit().release(0);
        }
        decisions.add(() -> waiting.decisionListener().accept(new AdmissionDecision.Refused(refusal)));
    }

    private void grant(WaitingRequest waiting) {
        waiting.markSettled();
        Permit permit = usedTokens -> releasePermit(waiting, usedTokens);
        decisions.add(() -> waiting.decisionListener().accept(new AdmissionDecision.Granted(permit)));
    }

    private void releasePermit(WaitingRequest waiting, long usedTokens) {
        waiting.permit().release(usedTokens);
        deliverDecisions();
    }

    private void cancel(WaitingRequest waiting) {
        synchronized (this) {
            if (waiting.isSettled()) {
                return;
            }
            waiting.markSettled();
            limitQueue.remove(waiting);
            queuesOf(waiting).remove(waiting);
            if (waiting.permit() != null) {
                waiting.permit().release(0);
            }
        }
        deliverDecisions();
    }

    /** Makes and delivers decisions one at a time, because each start changes the estimate for the next decision. */
    private void deliverDecisions() {
        if (!decisions.tryStartDelivery()) {
            return;
        }
        try {
            do {
                Runnable decision = nextDecision();
                while (decision != null) {
                    decision.run();
                    decision = nextDecision();
                }
            } while (!decisions.tryStopDelivery());
        } catch (RuntimeException | Error e) {
            decisions.abortDelivery();
            throw e;
        }
    }

    private synchronized Runnable nextDecision() {
        Runnable decision = decisions.poll();
        if (decision == null) {
            queuesByGroup.values().forEach(this::decideNext);
            decision = decisions.poll();
        }
        return decision;
    }

    /**
     * Refuses the requests at the heads of the queues that can no longer meet their deadline, then starts at most one.
     */
    private void decideNext(GroupQueues queues) {
        long nowMillis = time.monotonicMillis();
        for (WorkClass workClass : WorkClass.values()) {
            WaitingRequest head = queues.head(workClass);
            while (head != null) {
                Optional<Refusal> refusal = refusalIfInfeasible(head, 0, nowMillis);
                if (refusal.isEmpty()) {
                    break;
                }
                queues.remove(head);
                refuse(head, refusal.get());
                head = queues.head(workClass);
            }
        }
        startNext(queues, nowMillis);
    }

    private void startNext(GroupQueues queues, long nowMillis) {
        if (queues.isEmpty()) {
            return;
        }
        String group = firstWaiting(queues).group();
        WaitingRequest next = capacityEstimator
                .estimateCapacity(group)
                .map(estimate -> queues.nextToStart(
                        estimate.promptWaitMillis() + unreportedPeerWorkMillis(queues, estimate, nowMillis)))
                .orElse(null);
        if (next != null) {
            queues.removeForStart(next, nowMillis);
            grant(next);
        }
    }

    private double unreportedPeerWorkMillis(GroupQueues queues, GroupCapacity estimate, long nowMillis) {
        return queues.unreportedPeerWorkMillis(liveInstanceCount.getAsInt(), nowMillis)
                / Math.max(1, estimate.availableTargets());
    }

    private static WaitingRequest firstWaiting(GroupQueues queues) {
        for (WorkClass workClass : WorkClass.values()) {
            if (queues.head(workClass) != null) {
                return queues.head(workClass);
            }
        }
        throw new IllegalStateException("all queues of the target group are empty");
    }

    private void scheduleSweep() {
        boolean anyWaiting =
                !limitQueue.isEmpty() || queuesByGroup.values().stream().anyMatch(queues -> !queues.isEmpty());
        if (anyWaiting && !sweepScheduled) {
            sweepScheduled = true;
            time.schedule(policy.sweepIntervalMillis(), this::sweep);
        }
    }

    private void sweep() {
        synchronized (this) {
            sweepScheduled = false;
            sweepLimitQueue();
        }
        deliverDecisions();
        synchronized (this) {
            scheduleSweep();
        }
    }

    private void sweepLimitQueue() {
        long nowMillis = time.monotonicMillis();
        List<WaitingRequest> waitingRequests = limitQueue.snapshot();
        limitQueue.clear();
        for (WaitingRequest waiting : waitingRequests) {
            if (nowMillis >= waiting.limitDeadlineMillis()) {
                acquireOrRefuse(waiting);
            } else {
                acquireOrEnqueueForLimit(waiting);
            }
        }
        ownerLimits.reportDemand();
    }

    private void acquireOrRefuse(WaitingRequest waiting) {
        OwnerLimits.Acquired result = ownerLimits.tryAcquire(waiting.request(), waiting.maxTotalTokens());
        if (result instanceof OwnerLimits.Acquired.Success success) {
            waiting.setPermit(success.permit());
            enqueueForGroup(waiting);
            return;
        }
        LimitScope.LimitReached limitReached = ((OwnerLimits.Acquired.Failure) result).limitReached();
        refuse(
                waiting,
                Refusal.notRun(
                        limitReached.reason(),
                        "limit of " + limitReached.scope() + " is exhausted",
                        limitReached.retryAfterMillis()));
    }
}
