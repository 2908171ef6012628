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
 * The requests that wait for one target group, by class.
 *
 * <p>Urgent and standard requests wait in order of deadline, long reads in order of arrival. For each token of other
 * work that starts while a long read waits, the long reads earn a fixed part of a token, and the first of them starts as
 * soon as it is paid for, whatever else waits. So a long read with A tokens in the line up to and with itself starts
 * before more than A * (1 - floor) / floor tokens of other work, and one request more, have started.
 */
final class GroupQueues {

    private final AdmissionPolicy policy;
    private final Map<WorkClass, Queue<WaitingRequest>> queues = new EnumMap<>(WorkClass.class);
    private final Map<WorkClass, Double> queuedWorkMillis = new EnumMap<>(WorkClass.class);
    private final RecentlyStartedWork recentlyStarted;
    private double longReadCreditTokens;

    GroupQueues(AdmissionPolicy policy) {
        this.policy = policy;
        this.recentlyStarted = new RecentlyStartedWork(policy.unheardMillis());
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

    /** The first of a class, or null. */
    WaitingRequest head(WorkClass workClass) {
        return queues.get(workClass).peek();
    }

    Collection<WaitingRequest> requests(WorkClass workClass) {
        return queues.get(workClass);
    }

    /** The work that would go before a new request of a class, in milliseconds of one target. */
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

    /** Which request starts next where a target's own wait is this long; null where none does. */
    WaitingRequest nextToStart(double targetWaitMillis) {
        WaitingRequest longRead = head(WorkClass.LONG_READ);
        if (longRead != null
                && longReadCreditTokens >= longRead.maxTotalTokens()
                && targetWaitMillis <= policy.urgentWaitMillis()) {
            return longRead;
        }
        if (head(WorkClass.URGENT) != null) {
            return targetWaitMillis <= policy.urgentWaitMillis() ? head(WorkClass.URGENT) : null;
        }
        if (head(WorkClass.STANDARD) != null) {
            return targetWaitMillis <= policy.standardWaitMillis() ? head(WorkClass.STANDARD) : null;
        }
        return targetWaitMillis <= policy.longReadWaitMillis() ? longRead : null;
    }

    /** What the other instances have started and nobody has told yet, in milliseconds of one target. */
    double unreportedPeerWorkMillis(int instanceCount, long nowMillis) {
        return recentlyStarted.unreportedPeerWorkMillis(instanceCount, nowMillis);
    }

    /** Takes a request out to start it, and keeps the accounts. */
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
