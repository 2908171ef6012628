package org.dogwoodwinch.queueing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * The waiting calls of one priority, in fair order over their owners: each owner has a virtual time that advances with
 * the work of its calls divided by its weight, and the owner with the lowest one is served next. Owners that get more
 * than their share of the fleet come last. Calls of returning callers come first, and calls that can still meet their
 * objective come before late ones, which have lost most of their value.
 */
final class PriorityClass {

    /** Long enough to compare the calls of one instance of a large fleet, short enough to follow a burst of 10 s. */
    private static final double OUTCOMES_TIME_CONSTANT_MILLIS = 10_000;

    /** Equal to the time constant of the released work, from which the arrived work is subtracted. */
    private static final double ARRIVALS_TIME_CONSTANT_MILLIS = 4_000;

    /** Number of idle owners above which those that the class has caught up with are removed, to bound the memory. */
    private static final int MAX_IDLE_OWNERS = 256;

    private final ToDoubleFunction<String> weightOf;
    private final OwnerShares shares;
    private final Map<String, OwnerQueue> owners = new LinkedHashMap<>();

    /** The virtual times of owners without waiting calls that are ahead of the class. */
    private final Map<String, Double> idleOwners = new HashMap<>();

    private final DecayingSum arrivedWork = new DecayingSum(ARRIVALS_TIME_CONSTANT_MILLIS);
    private final DecayingSum servedCalls = new DecayingSum(OUTCOMES_TIME_CONSTANT_MILLIS);
    private final DecayingSum lostCalls = new DecayingSum(OUTCOMES_TIME_CONSTANT_MILLIS);
    private double virtualTime;
    private double creditWork;
    private long waitingWork;

    PriorityClass(ToDoubleFunction<String> weightOf, OwnerShares shares) {
        this.weightOf = weightOf;
        this.shares = shares;
    }

    boolean isEmpty() {
        return owners.isEmpty();
    }

    long waitingWork() {
        return waitingWork;
    }

    double creditWork() {
        return creditWork;
    }

    /** Adds a call. An owner that had none gets no credit for the time in which it did not ask. */
    void add(WaitingCall call) {
        OwnerQueue queue = owners.get(call.owner());
        if (queue == null) {
            queue = new OwnerQueue();
            Double lastVirtualTime = idleOwners.remove(call.owner());
            queue.setVirtualTime(Math.max(virtualTime, lastVirtualTime == null ? 0 : lastVirtualTime));
            owners.put(call.owner(), queue);
        }
        queue.add(call);
        waitingWork += call.work();
    }

    boolean remove(WaitingCall call) {
        OwnerQueue queue = owners.get(call.owner());
        if (queue == null || !queue.remove(call)) {
            return false;
        }
        waitingWork -= call.work();
        if (queue.isEmpty()) {
            owners.remove(call.owner());
            putIdle(call.owner(), queue.virtualTime());
        }
        if (isEmpty()) {
            creditWork = Math.min(0, creditWork);
        }
        return true;
    }

    /** Returns the call that is served next. */
    WaitingCall first(long nowMillis) {
        Tagged first = null;
        for (Map.Entry<String, OwnerQueue> entry : owners.entrySet()) {
            WaitingCall call = entry.getValue().peek(nowMillis);
            Tagged tagged = new Tagged(
                    shares.isAboveShare(entry.getKey(), nowMillis),
                    call.onTimeReleaseMillis() < nowMillis,
                    entry.getValue().virtualTime(),
                    call);
            if (first == null || Tagged.ORDER.compare(tagged, first) < 0) {
                first = tagged;
            }
        }
        return first.call();
    }

    /** Removes a call that is sent, and advances the virtual time of its owner. */
    void serve(WaitingCall call, long nowMillis) {
        OwnerQueue queue = owners.get(call.owner());
        virtualTime = Math.max(virtualTime, queue.virtualTime());
        queue.setVirtualTime(queue.virtualTime() + call.work() / weightOf.applyAsDouble(call.owner()));
        remove(call);
        servedCalls.add(1, nowMillis);
        creditWork = Math.max(creditWork - call.work(), (double) -call.work());
    }

    /** Adds to the work that this class may release before more urgent ones; at most the work of one call is kept. */
    void earn(double work, long nowMillis) {
        creditWork = Math.min(creditWork + work, (double) first(nowMillis).work());
    }

    void recordArrival(long work, long nowMillis) {
        arrivedWork.add((double) work, nowMillis);
    }

    double arrivedWorkPerMilli(long nowMillis) {
        return arrivedWork.at(nowMillis) / ARRIVALS_TIME_CONSTANT_MILLIS;
    }

    void recordLost(long nowMillis) {
        lostCalls.add(1, nowMillis);
    }

    /** Returns the share of calls that were served, of those that were served or refused. */
    double servedRatio(long nowMillis) {
        double lost = lostCalls.at(nowMillis);
        return lost == 0 ? 1 : 1 - lost / (lost + servedCalls.at(nowMillis));
    }

    /** Returns all calls in the order in which they are served if no other call arrives. */
    List<WaitingCall> inOrder(long nowMillis) {
        List<Tagged> tagged = new ArrayList<>();
        owners.forEach((owner, queue) -> {
            double[] startTag = {queue.virtualTime()};
            double weight = weightOf.applyAsDouble(owner);
            boolean isAboveShare = shares.isAboveShare(owner, nowMillis);
            queue.forEach(nowMillis, call -> {
                tagged.add(new Tagged(isAboveShare, call.onTimeReleaseMillis() < nowMillis, startTag[0], call));
                startTag[0] += call.work() / weight;
            });
        });
        tagged.sort(Tagged.ORDER);
        return tagged.stream().map(Tagged::call).toList();
    }

    private void putIdle(String owner, double ownerVirtualTime) {
        if (ownerVirtualTime > virtualTime) {
            idleOwners.put(owner, ownerVirtualTime);
        }
        if (idleOwners.size() > MAX_IDLE_OWNERS) {
            idleOwners.values().removeIf(idleTime -> idleTime <= virtualTime);
        }
    }

    /** A call with what its turn depends on. */
    private record Tagged(boolean isAboveShare, boolean isLate, double startTag, WaitingCall call) {

        static final Comparator<Tagged> ORDER = Comparator.comparing(Tagged::isAboveShare)
                .thenComparing(tagged -> !tagged.call.isReturning())
                .thenComparing(Tagged::isLate)
                .thenComparingDouble(Tagged::startTag);
    }
}
