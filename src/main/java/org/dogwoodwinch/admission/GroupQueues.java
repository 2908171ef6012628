package org.dogwoodwinch.admission;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import org.dogwoodwinch.catalogue.WorkClass;

/**
 * The queues of requests that wait for one target group, one queue per class of work.
 *
 * <p>Urgent and standard requests are ordered by deadline, long reads by arrival. Each token of other work that starts
 * while a long read waits adds a fixed fraction of a token to the credit of the long reads. When the credit covers the
 * first long read, it starts next, ahead of the other classes. A long read for which the long reads up to and including
 * itself have A tokens therefore starts before more than A * (1 - floor) / floor tokens of other work, plus one
 * request, have started, where floor is {@link AdmissionPolicy#longReadFloorRatio()}.
 */
final class GroupQueues {

    private final AdmissionPolicy policy;
    private final Map<WorkClass, Queue<WaitingRequest>> queues = new EnumMap<>(WorkClass.class);
    private final Map<WorkClass, Double> queuedWorkMillis = new EnumMap<>(WorkClass.class);
    private final StartedWork recentlyStarted;
    private double longReadCreditTokens;

    GroupQueues(AdmissionPolicy policy) {
        this.policy = policy;
        this.recentlyStarted = new StartedWork(policy.peerReportIntervalMillis());
        Comparator<WaitingRequest> byDeadline =
                Comparator.comparingLong(waiting -> waiting.request().deadlineMillis());
        queues.put(WorkClass.URGENT, new PriorityQueue<>(byDeadline));
        queues.put(WorkClass.STANDARD, new PriorityQueue<>(byDeadline));
        queues.put(WorkClass.LONG_READ, new ArrayDeque<>());
    }

    boolean hasCapacity(WorkClass workClass) {
        return queues.get(workClass).size() < capacityOf(workClass);
    }

    void add(WaitingRequest waiting) {
        queues.get(waiting.workClass()).add(waiting);
        queuedWorkMillis.merge(waiting.workClass(), waiting.workMillis(), Double::sum);
    }

    void remove(WaitingRequest waiting) {
        if (queues.get(waiting.workClass()).remove(waiting)) {
            queuedWorkMillis.merge(waiting.workClass(), -waiting.workMillis(), Double::sum);
        }
        if (queues.get(WorkClass.LONG_READ).isEmpty()) {
            longReadCreditTokens = 0;
        }
    }

    boolean isEmpty() {
        return queues.values().stream().allMatch(Queue::isEmpty);
    }

    /** Returns the first request of a class, or null if none waits. */
    WaitingRequest head(WorkClass workClass) {
        return queues.get(workClass).peek();
    }

    Collection<WaitingRequest> requests(WorkClass workClass) {
        return queues.get(workClass);
    }

    /**
     * Returns the estimated time on one target of the work queued ahead of a new request of a class, in milliseconds.
     */
    double workAheadMillis(WorkClass workClass) {
        double aheadMillis = queuedWorkMillis.getOrDefault(WorkClass.URGENT, 0.0);
        if (workClass != WorkClass.URGENT) {
            aheadMillis += queuedWorkMillis.getOrDefault(WorkClass.STANDARD, 0.0);
        }
        if (workClass == WorkClass.LONG_READ) {
            aheadMillis += queuedWorkMillis.getOrDefault(WorkClass.LONG_READ, 0.0);
        }
        return Math.max(0, aheadMillis);
    }

    /** Returns the request to start next if a target would delay it by the given wait; null if none may start. */
    WaitingRequest nextToStart(double targetWaitMillis) {
        WaitingRequest longRead = head(WorkClass.LONG_READ);
        if (longRead != null
                && longReadCreditTokens >= longRead.maxTotalTokens()
                && targetWaitMillis <= policy.urgentMaxTargetWaitMillis()) {
            return longRead;
        }
        if (head(WorkClass.URGENT) != null) {
            return targetWaitMillis <= policy.urgentMaxTargetWaitMillis() ? head(WorkClass.URGENT) : null;
        }
        if (head(WorkClass.STANDARD) != null) {
            return targetWaitMillis <= policy.standardMaxTargetWaitMillis() ? head(WorkClass.STANDARD) : null;
        }
        return targetWaitMillis <= policy.longReadMaxTargetWaitMillis() ? longRead : null;
    }

    /**
     * Estimates the work that the other instances started but have not reported yet, as time on one target in
     * milliseconds.
     */
    double unreportedPeerWorkMillis(int instanceCount, long nowMillis) {
        return recentlyStarted.unreportedPeerWorkMillis(instanceCount, nowMillis);
    }

    /** Removes a request that is about to start, and updates the started work and the credit of the long reads. */
    void removeForStart(WaitingRequest waiting, long nowMillis) {
        recentlyStarted.recordStart(waiting.workMillis(), nowMillis);
        if (waiting.workClass() == WorkClass.LONG_READ) {
            longReadCreditTokens = Math.max(0, longReadCreditTokens - waiting.maxTotalTokens());
        } else if (head(WorkClass.LONG_READ) != null) {
            double earnedTokens =
                    waiting.maxTotalTokens() * policy.longReadFloorRatio() / (1 - policy.longReadFloorRatio());
            longReadCreditTokens = Math.min(
                    longReadCreditTokens + earnedTokens,
                    head(WorkClass.LONG_READ).maxTotalTokens() + earnedTokens);
        }
        remove(waiting);
    }

    private int capacityOf(WorkClass workClass) {
        return switch (workClass) {
            case URGENT -> policy.urgentQueueCapacity();
            case STANDARD -> policy.standardQueueCapacity();
            case LONG_READ -> policy.longReadQueueCapacity();
        };
    }
}
