package org.dogwoodwinch.queueing;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.TreeMap;
import java.util.function.LongUnaryOperator;
import java.util.function.ToDoubleFunction;

/**
 * The calls of one service that wait because its targets have no capacity. Not thread-safe.
 *
 * <p>The most urgent priority is served first. A less urgent one takes its turn when it has got less than its share of
 * the released work and its calls are served less often than those of all more urgent ones. Within a priority, owners get
 * equal work in proportion to their weights, and the calls of one owner are served by the earliest of objective and
 * deadline that can still be met.
 *
 * <p>Load: a demand of one and a half times the capacity for 10 s, of some hundred owners with very different demands, at
 * each of up to 480 instances.
 */
public final class FairQueue {

    /** Bounds the memory of waiting calls, each of which holds its body and the state of its connection. */
    public static final int MAX_WAITING_COUNT = 1_000;

    /** Share of the released work that the second priority gets at least; each later one gets half of the one before. */
    private static final double SECOND_PRIORITY_SHARE = 0.1;

    /**
     * A less urgent priority uses its share only while its served ratio is below this part of the lowest served ratio
     * of the more urgent ones. Its calls often have later deadlines, so that those still waiting when a burst ends are
     * served as well.
     */
    private static final double MAX_RATIO_OF_MORE_URGENT = 0.4;

    /**
     * Part of the expected wait that counts when a call is refused. The rate is observed over few calls, and a call that is
     * refused by mistake is lost, while one that is kept by mistake is refused later.
     */
    private static final double REFUSAL_WAIT_RATIO = 0.8;

    private final ToDoubleFunction<String> weightOf;
    private final OwnerShares shares;
    private final NavigableMap<Integer, PriorityClass> classes = new TreeMap<>();
    private final BusyRate rate = new BusyRate();
    private int waitingCount;

    /**
     * Creates an empty queue.
     *
     * @param weightOf returns the weight of an owner, greater than zero, not null
     * @param shares what owners use of the fleet, not null
     */
    public FairQueue(ToDoubleFunction<String> weightOf, OwnerShares shares) {
        this.shares = Objects.requireNonNull(shares, "shares");
        this.weightOf = Objects.requireNonNull(weightOf, "weightOf");
    }

    /**
     * Adds a call unless it cannot be served in time.
     *
     * @param call the call, with an id that no waiting call has, not null
     * @param nowMillis the time in monotonic milliseconds
     * @return whether the call waits
     */
    public OfferOutcome offer(WaitingCall call, long nowMillis) {
        rate.advance(!isEmpty(), nowMillis);
        PriorityClass offered =
                classes.computeIfAbsent(call.priority(), _priority -> new PriorityClass(weightOf, shares));
        offered.recordArrival(call.work(), nowMillis);
        if (waitingCount >= MAX_WAITING_COUNT) {
            offered.recordLost(nowMillis);
            return new OfferOutcome.Refused(
                    RefusalReason.QUEUE_FULL,
                    waitMillis(call.priority(), waitingWorkUntil(call.priority()), nowMillis));
        }
        offered.add(call);
        long waitMillis = expectedWaitMillis(call, nowMillis);
        if (isUnmeetable(call, waitMillis, nowMillis)) {
            offered.remove(call);
            offered.recordLost(nowMillis);
            return new OfferOutcome.Refused(RefusalReason.DEADLINE_UNMEETABLE, waitMillis);
        }
        waitingCount++;
        return new OfferOutcome.Queued(waitMillis);
    }

    /**
     * Returns the call that is sent next.
     *
     * @param nowMillis the time in monotonic milliseconds
     * @return the turn; empty if no call waits
     */
    public Optional<QueueTurn> next(long nowMillis) {
        PriorityClass mostUrgent = null;
        double lowestRatio = 1;
        for (PriorityClass each : classes.values()) {
            double servedRatio = each.servedRatio(nowMillis);
            if (!each.isEmpty()) {
                if (mostUrgent == null) {
                    mostUrgent = each;
                } else if (each.creditWork() > 0 && servedRatio < lowestRatio * MAX_RATIO_OF_MORE_URGENT) {
                    return Optional.of(new QueueTurn(each.first(nowMillis), true));
                }
            }
            lowestRatio = Math.min(lowestRatio, servedRatio);
        }
        return Optional.ofNullable(mostUrgent).map(found -> new QueueTurn(found.first(nowMillis), false));
    }

    /**
     * Removes the call that {@link #next} returns, since it is sent.
     *
     * @param nowMillis the time in monotonic milliseconds
     * @return the turn; empty if no call waits
     */
    public Optional<QueueTurn> poll(long nowMillis) {
        Optional<QueueTurn> turn = next(nowMillis);
        turn.ifPresent(taken -> release(taken.call(), nowMillis));
        return turn;
    }

    /**
     * Removes a call whose caller has left or got another answer.
     *
     * @param call the call, not null
     * @param nowMillis the time in monotonic milliseconds
     * @return whether the call waited
     */
    public boolean remove(WaitingCall call, long nowMillis) {
        rate.advance(!isEmpty(), nowMillis);
        PriorityClass priorityClass = classes.get(call.priority());
        if (priorityClass == null || !priorityClass.remove(call)) {
            return false;
        }
        waitingCount--;
        priorityClass.recordLost(nowMillis);
        return true;
    }

    /**
     * Removes the calls that can no longer be served in time at the observed rate. Without an observed rate these are the
     * calls whose time has passed.
     *
     * @param nowMillis the time in monotonic milliseconds
     * @return the removed calls
     */
    public List<Unmeetable> removeUnmeetable(long nowMillis) {
        List<Unmeetable> removed = new ArrayList<>();
        classes.forEach((priority, priorityClass) -> {
            LongUnaryOperator waitMillisBehind = waitMillisBehind(priority, nowMillis);
            long aheadWork = 0;
            for (WaitingCall call : priorityClass.inOrder(nowMillis)) {
                long waitMillis = waitMillisBehind.applyAsLong(aheadWork);
                if (isUnmeetable(call, waitMillis, nowMillis)) {
                    removed.add(new Unmeetable(call, waitMillis));
                } else {
                    aheadWork += call.work();
                }
            }
        });
        removed.forEach(each -> remove(each.call(), nowMillis));
        return removed;
    }

    /**
     * Returns the number of waiting calls.
     *
     * @return the calls of all priorities
     */
    public int size() {
        return waitingCount;
    }

    /**
     * Returns whether no call waits.
     *
     * @return whether the queue is empty
     */
    public boolean isEmpty() {
        return waitingCount == 0;
    }

    /**
     * Returns the work that is released per millisecond for calls of a priority, as far as more urgent ones leave it.
     *
     * @param priority the priority
     * @param nowMillis the time in monotonic milliseconds
     * @return the rate, at least the share of the priority; empty if it was not observed
     */
    public OptionalDouble workPerMilli(int priority, long nowMillis) {
        OptionalDouble observed = rate.perMilli(nowMillis);
        if (observed.isEmpty()) {
            return observed;
        }
        double moreUrgentWorkPerMilli = classes.headMap(priority).values().stream()
                .mapToDouble(each -> each.arrivedWorkPerMilli(nowMillis))
                .sum();
        return OptionalDouble.of(
                Math.max(observed.getAsDouble() - moreUrgentWorkPerMilli, observed.getAsDouble() * share(priority)));
    }

    private void release(WaitingCall call, long nowMillis) {
        rate.advance(true, nowMillis);
        rate.recordRelease(call.work(), nowMillis);
        classes.forEach((priority, each) -> {
            if (priority > classes.firstKey() && !each.isEmpty()) {
                each.earn(call.work() * share(priority), nowMillis);
            }
        });
        classes.get(call.priority()).serve(call, nowMillis);
        waitingCount--;
    }

    private double share(int priority) {
        int rank = classes.headMap(priority).size();
        return rank == 0 ? 1 : SECOND_PRIORITY_SHARE / (1L << Math.min(rank - 1, Integer.SIZE));
    }

    private long expectedWaitMillis(WaitingCall call, long nowMillis) {
        if (rate.perMilli(nowMillis).isEmpty()) {
            return 0;
        }
        long aheadWork = 0;
        for (WaitingCall each : classes.get(call.priority()).inOrder(nowMillis)) {
            if (each.id() == call.id()) {
                break;
            }
            aheadWork += each.work();
        }
        return waitMillis(call.priority(), aheadWork, nowMillis);
    }

    private long waitMillis(int priority, long aheadWork, long nowMillis) {
        return waitMillisBehind(priority, nowMillis).applyAsLong(aheadWork);
    }

    /** Returns a function from the work ahead of a call in its own priority to the wait of the call. */
    private LongUnaryOperator waitMillisBehind(int priority, long nowMillis) {
        OptionalDouble left = workPerMilli(priority, nowMillis);
        if (left.isEmpty()) {
            return _aheadWork -> 0;
        }
        double leftPerMilli = left.getAsDouble();
        double onSharePerMilli = rate.perMilli(nowMillis).orElseThrow() * share(priority);
        long moreUrgentWork = waitingWorkUntil(priority - 1);
        return aheadWork -> {
            double waitMillis = Math.min((moreUrgentWork + aheadWork) / leftPerMilli, aheadWork / onSharePerMilli);
            // Without any release in the observed time, a call waits for as long as it may.
            return Double.isFinite(waitMillis) ? Math.round(waitMillis) : Integer.MAX_VALUE;
        };
    }

    private long waitingWorkUntil(int priority) {
        return classes.headMap(priority, true).values().stream()
                .mapToLong(PriorityClass::waitingWork)
                .sum();
    }

    private static boolean isUnmeetable(WaitingCall call, long waitMillis, long nowMillis) {
        return nowMillis + Math.round(waitMillis * REFUSAL_WAIT_RATIO) > call.latestReleaseMillis();
    }
}
