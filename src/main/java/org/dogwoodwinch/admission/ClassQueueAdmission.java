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
 * Admits by owners' limits and by class: urgent work by deadline, refused at once where it cannot be met; long reads
 * wait, with a floor.
 *
 * <p>Requests wait here rather than on targets. On a target the order is fixed and a request that became worthless is
 * computed all the same; here it costs nothing. Thread-safe: decisions are taken under this object's monitor and told
 * outside it.
 */
public final class ClassQueueAdmission implements Admission {

    private static final long SHORTEST_RETRY_MILLIS = 200;
    private static final long LONGEST_RETRY_MILLIS = 5_000;
    private static final long NO_TARGET_RETRY_MILLIS = 1_000;

    private final AdmissionPolicy policy;
    private final CapacityEstimator capacity;
    private final IntSupplier liveInstances;
    private final OwnerLimits limits;
    private final TimeSource time;
    private final Map<String, GroupQueues> groups = new HashMap<>();
    private final LimitQueue limitQueue;
    private final DecisionQueue decisions = new DecisionQueue();
    private boolean sweepScheduled;

    /**
     * Creates an admission.
     *
     * @param policy the constants, not null
     * @param catalogue the catalogue in force, for owners' limits, not null
     * @param shares the instances' shares of those limits, not null
     * @param capacity estimates what target groups can do, not null
     * @param liveInstances how many instances of our own are live, to judge how fast this one's queues move, not null
     * @param time the clock, not null
     */
    public ClassQueueAdmission(
            AdmissionPolicy policy,
            CatalogueView catalogue,
            ShareExchange shares,
            CapacityEstimator capacity,
            IntSupplier liveInstances,
            TimeSource time) {
        this.policy = Objects.requireNonNull(policy, "policy");
        this.capacity = Objects.requireNonNull(capacity, "capacity");
        this.liveInstances = Objects.requireNonNull(liveInstances, "liveInstances");
        this.time = Objects.requireNonNull(time, "time");
        this.limits = new OwnerLimits(catalogue, shares, time);
        this.limitQueue = new LimitQueue(policy.limitQueueLength());
    }

    @Override
    public Cancellable admit(CallerRequest request, Consumer<AdmissionDecision> decision) {
        long nowMillis = time.monotonicMillis();
        WaitingRequest waiting = new WaitingRequest(request, decision, limitDeadlineMillis(request, nowMillis));
        synchronized (this) {
            arrive(waiting, nowMillis);
        }
        tell();
        return () -> cancel(waiting);
    }

    /**
     * Returns how many requests wait.
     *
     * @return the count, over all groups and limits
     */
    public synchronized int waitingRequests() {
        int waiting = limitQueue.snapshot().size();
        for (GroupQueues queues : groups.values()) {
            for (WorkClass workClass : WorkClass.values()) {
                waiting += queues.all(workClass).size();
            }
        }
        return waiting;
    }

    private long limitDeadlineMillis(CallerRequest request, long nowMillis) {
        return request.entry().workClass() == WorkClass.LONG_READ
                ? request.deadlineMillis()
                : Math.min(request.deadlineMillis(), nowMillis + policy.limitWaitMillis());
    }

    private void arrive(WaitingRequest waiting, long nowMillis) {
        Optional<Refusal> refusal =
                hopeless(waiting, queuesOf(waiting).workAheadMillis(waiting.workClass()), nowMillis);
        if (refusal.isPresent()) {
            deny(waiting, refusal.get());
        } else if (limitQueue.isBehind(waiting)) {
            waitForLimit(waiting, RefusalReason.CONCURRENCY_LIMIT, "owner", SHORTEST_RETRY_MILLIS);
        } else {
            acquire(waiting);
        }
        scheduleSweep();
    }

    private void acquire(WaitingRequest waiting) {
        OwnerLimits.Acquired acquired = limits.tryAcquire(waiting.request(), waiting.tokens());
        if (acquired instanceof OwnerLimits.Acquired.Yes yes) {
            waiting.setPermit(yes.permit());
            enqueue(waiting);
        } else {
            LimitScope.Blocked blocked = ((OwnerLimits.Acquired.No) acquired).blocked();
            waitForLimit(waiting, blocked.reason(), blocked.scope(), blocked.retryAfterMillis());
        }
    }

    private void waitForLimit(WaitingRequest waiting, RefusalReason reason, String scope, long retryAfterMillis) {
        if (limitQueue.hasRoom(waiting)) {
            limitQueue.add(waiting);
        } else {
            deny(waiting, Refusal.notRun(reason, "the limit of " + scope + " is used up", retryAfterMillis));
        }
    }

    private void enqueue(WaitingRequest waiting) {
        GroupQueues queues = queuesOf(waiting);
        if (!queues.hasRoom(waiting.workClass())) {
            String detail = "the queue of class " + waiting.workClass() + " is full";
            deny(waiting, Refusal.notRun(RefusalReason.QUEUE_FULL, detail, retryAfter(waiting)));
            return;
        }
        capacity.capacityOf(waiting.group())
                .ifPresent(estimate ->
                        waiting.setWorkMillis(estimate.workMillis(waiting.promptTokens(), waiting.maxTokens())));
        queues.add(waiting);
    }

    /** Says why a request is not worth starting or keeping; empty where it is. */
    private Optional<Refusal> hopeless(WaitingRequest waiting, double workAheadMillis, long nowMillis) {
        long remainingMillis = waiting.request().remainingMillis(nowMillis);
        if (remainingMillis == 0) {
            return Optional.of(
                    Refusal.notRun(RefusalReason.DEADLINE_PASSED, "the deadline passed before the start", 0));
        }
        if (waiting.workClass() == WorkClass.LONG_READ) {
            return Optional.empty();
        }
        Optional<GroupCapacity> estimate = capacity.capacityOf(waiting.group());
        if (estimate.isEmpty()) {
            String detail = "no target of group " + waiting.group() + " takes new work";
            return Optional.of(Refusal.notRun(RefusalReason.NO_TARGET, detail, NO_TARGET_RETRY_MILLIS));
        }
        double waitMillis = queueWaitMillis(workAheadMillis, estimate.get());
        double neededMillis = waitMillis
                + policy.refusalFactor() * estimate.get().completionMillis(waiting.promptTokens(), waiting.maxTokens());
        if (neededMillis <= remainingMillis) {
            return Optional.empty();
        }
        String detail = "an answer would take " + Math.round(neededMillis) + " ms and " + remainingMillis + " are left";
        return Optional.of(Refusal.notRun(RefusalReason.DEADLINE_UNMEETABLE, detail, retryAfter(waiting)));
    }

    private double queueWaitMillis(double workAheadMillis, GroupCapacity estimate) {
        double ownTargets = estimate.targets() / (double) Math.max(1, liveInstances.getAsInt());
        return workAheadMillis / (1 - policy.longReadFloor()) / Math.max(0.1, ownTargets);
    }

    private long retryAfter(WaitingRequest waiting) {
        double queueMillis = capacity.capacityOf(waiting.group())
                .map(estimate -> queueWaitMillis(queuesOf(waiting).workAheadMillis(waiting.workClass()), estimate))
                .orElse(0.0);
        return Math.max(SHORTEST_RETRY_MILLIS, Math.min(LONGEST_RETRY_MILLIS, Math.round(queueMillis)));
    }

    private GroupQueues queuesOf(WaitingRequest waiting) {
        return groups.computeIfAbsent(waiting.group(), _group -> new GroupQueues(policy));
    }

    private void deny(WaitingRequest waiting, Refusal refusal) {
        waiting.markDone();
        if (waiting.permit() != null) {
            waiting.permit().release(0);
        }
        decisions.add(() -> waiting.decision().accept(new AdmissionDecision.Denied(refusal)));
    }

    private void grant(WaitingRequest waiting) {
        waiting.markDone();
        Permit permit = usedTokens -> release(waiting, usedTokens);
        decisions.add(() -> waiting.decision().accept(new AdmissionDecision.Granted(permit)));
    }

    private void release(WaitingRequest waiting, long usedTokens) {
        waiting.permit().release(usedTokens);
        tell();
    }

    private void cancel(WaitingRequest waiting) {
        synchronized (this) {
            if (waiting.done()) {
                return;
            }
            waiting.markDone();
            limitQueue.remove(waiting);
            queuesOf(waiting).remove(waiting);
            if (waiting.permit() != null) {
                waiting.permit().release(0);
            }
        }
        tell();
    }

    /** Tells decisions one by one, since each start changes the estimate that the next one depends on. */
    private void tell() {
        if (!decisions.startTelling()) {
            return;
        }
        try {
            do {
                Runnable decision = nextDecision();
                while (decision != null) {
                    decision.run();
                    decision = nextDecision();
                }
            } while (!decisions.stopTelling());
        } catch (RuntimeException | Error e) {
            decisions.abortTelling();
            throw e;
        }
    }

    private synchronized Runnable nextDecision() {
        Runnable decision = decisions.next();
        if (decision == null) {
            groups.values().forEach(this::decisionsOf);
            decision = decisions.next();
        }
        return decision;
    }

    /** Takes at most one start of a group, after the refusals that come before it. */
    private void decisionsOf(GroupQueues queues) {
        long nowMillis = time.monotonicMillis();
        for (WorkClass workClass : WorkClass.values()) {
            WaitingRequest head = queues.head(workClass);
            while (head != null) {
                Optional<Refusal> refusal = hopeless(head, 0, nowMillis);
                if (refusal.isEmpty()) {
                    break;
                }
                queues.remove(head);
                deny(head, refusal.get());
                head = queues.head(workClass);
            }
        }
        startOne(queues, nowMillis);
    }

    private void startOne(GroupQueues queues, long nowMillis) {
        if (queues.isEmpty()) {
            return;
        }
        String group = anyOf(queues).group();
        WaitingRequest next = capacity.capacityOf(group)
                .map(estimate -> queues.next(estimate.waitMillis() + unheardMillis(queues, estimate, nowMillis)))
                .orElse(null);
        if (next != null) {
            queues.start(next, nowMillis);
            grant(next);
        }
    }

    private double unheardMillis(GroupQueues queues, GroupCapacity estimate, long nowMillis) {
        return queues.unheardMillis(liveInstances.getAsInt(), nowMillis) / Math.max(1, estimate.targets());
    }

    private static WaitingRequest anyOf(GroupQueues queues) {
        for (WorkClass workClass : WorkClass.values()) {
            if (queues.head(workClass) != null) {
                return queues.head(workClass);
            }
        }
        throw new IllegalStateException("the queues are empty");
    }

    private void scheduleSweep() {
        boolean waiting = !limitQueue.isEmpty() || groups.values().stream().anyMatch(queues -> !queues.isEmpty());
        if (waiting && !sweepScheduled) {
            sweepScheduled = true;
            time.schedule(policy.sweepMillis(), this::sweep);
        }
    }

    private void sweep() {
        synchronized (this) {
            sweepScheduled = false;
            sweepLimits();
        }
        tell();
        synchronized (this) {
            scheduleSweep();
        }
    }

    private void sweepLimits() {
        long nowMillis = time.monotonicMillis();
        List<WaitingRequest> waiting = limitQueue.snapshot();
        limitQueue.clear();
        for (WaitingRequest each : waiting) {
            if (nowMillis >= each.limitDeadlineMillis()) {
                refuseForLimit(each);
            } else {
                acquire(each);
            }
        }
        limits.reportWaiting();
    }

    private void refuseForLimit(WaitingRequest waiting) {
        OwnerLimits.Acquired acquired = limits.tryAcquire(waiting.request(), waiting.tokens());
        if (acquired instanceof OwnerLimits.Acquired.Yes yes) {
            waiting.setPermit(yes.permit());
            enqueue(waiting);
            return;
        }
        LimitScope.Blocked blocked = ((OwnerLimits.Acquired.No) acquired).blocked();
        deny(
                waiting,
                Refusal.notRun(
                        blocked.reason(),
                        "the limit of " + blocked.scope() + " is used up",
                        blocked.retryAfterMillis()));
    }
}
