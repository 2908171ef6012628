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
    private final Map<WorkClass, Double> workMillis = new EnumMap<>(WorkClass.class);
    private final StartedWork started;
    private double longReadCredit;

    GroupQueues(AdmissionPolicy policy) {
        this.policy = policy;
        this.started = new StartedWork(policy.unheardMillis());
        Comparator<WaitingRequest> byDeadline =
                Comparator.comparingLong(waiting -> waiting.request().deadlineMillis());
        queues.put(WorkClass.URGENT, new PriorityQueue<>(byDeadline));
        queues.put(WorkClass.STANDARD, new PriorityQueue<>(byDeadline));
        queues.put(WorkClass.LONG_READ, new ArrayDeque<>());
    }

    boolean hasRoom(WorkClass workClass) {
        return queues.get(workClass).size() < lengthOf(workClass);
    }

    void add(WaitingRequest waiting) {
        queues.get(waiting.workClass()).add(waiting);
        workMillis.merge(waiting.workClass(), waiting.workMillis(), Double::sum);
    }

    void remove(WaitingRequest waiting) {
        if (queues.get(waiting.workClass()).remove(waiting)) {
            workMillis.merge(waiting.workClass(), -waiting.workMillis(), Double::sum);
        }
        if (queues.get(WorkClass.LONG_READ).isEmpty()) {
            longReadCredit = 0;
        }
    }

    boolean isEmpty() {
        return queues.values().stream().allMatch(Queue::isEmpty);
    }

    /** The first of a class, or null. */
    WaitingRequest head(WorkClass workClass) {
        return queues.get(workClass).peek();
    }

    Collection<WaitingRequest> all(WorkClass workClass) {
        return queues.get(workClass);
    }

    /** The work that would go before a new request of a class, in milliseconds of one target. */
    double workAheadMillis(WorkClass workClass) {
        double ahead = workMillis.getOrDefault(WorkClass.URGENT, 0.0);
        if (workClass != WorkClass.URGENT) {
            ahead += workMillis.getOrDefault(WorkClass.STANDARD, 0.0);
        }
        if (workClass == WorkClass.LONG_READ) {
            ahead += workMillis.getOrDefault(WorkClass.LONG_READ, 0.0);
        }
        return Math.max(0, ahead);
    }

    /** Which request starts next where a target's own wait is this long; null where none does. */
    WaitingRequest next(double targetWaitMillis) {
        WaitingRequest longRead = head(WorkClass.LONG_READ);
        if (longRead != null && longReadCredit >= longRead.tokens() && targetWaitMillis <= policy.urgentWaitMillis()) {
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
    double unheardMillis(int instancesCount, long nowMillis) {
        return started.unheardOfOthers(instancesCount, nowMillis);
    }

    /** Takes a request out to start it, and keeps the accounts. */
    void start(WaitingRequest waiting, long nowMillis) {
        started.started(waiting.workMillis(), nowMillis);
        if (waiting.workClass() == WorkClass.LONG_READ) {
            longReadCredit = Math.max(0, longReadCredit - waiting.tokens());
        } else if (head(WorkClass.LONG_READ) != null) {
            double earned = waiting.tokens() * policy.longReadFloor() / (1 - policy.longReadFloor());
            longReadCredit =
                    Math.min(longReadCredit + earned, head(WorkClass.LONG_READ).tokens() + earned);
        }
        remove(waiting);
    }

    private int lengthOf(WorkClass workClass) {
        return switch (workClass) {
            case URGENT -> policy.urgentQueueLength();
            case STANDARD -> policy.standardQueueLength();
            case LONG_READ -> policy.longReadQueueLength();
        };
    }
}
