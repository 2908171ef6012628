package org.dogwoodwinch.queueing;

import java.util.Comparator;
import java.util.Iterator;
import java.util.NavigableSet;
import java.util.TreeSet;
import java.util.function.Consumer;

/**
 * The waiting calls of one owner and priority: calls of returning callers, then those that can still meet their objective,
 * then late ones, which have lost most of their value; among these the earliest time first.
 */
final class OwnerQueue {

    /** Returning calls, and the others that can still meet their objective. */
    private final NavigableSet<WaitingCall> first = new TreeSet<>(Comparator.comparing(WaitingCall::isReturning)
            .reversed()
            .thenComparingLong(WaitingCall::onTimeReleaseMillis)
            .thenComparingLong(WaitingCall::id));

    private final NavigableSet<WaitingCall> byObjective = new TreeSet<>(
            Comparator.comparingLong(WaitingCall::onTimeReleaseMillis).thenComparingLong(WaitingCall::id));
    private final NavigableSet<WaitingCall> late = new TreeSet<>(
            Comparator.comparingLong(WaitingCall::latestReleaseMillis).thenComparingLong(WaitingCall::id));
    private double virtualTime;

    /** Returns the virtual time at which the next call of the owner starts. */
    double virtualTime() {
        return virtualTime;
    }

    void setVirtualTime(double newVirtualTime) {
        virtualTime = newVirtualTime;
    }

    void add(WaitingCall call) {
        first.add(call);
        if (!call.isReturning()) {
            byObjective.add(call);
        }
    }

    boolean remove(WaitingCall call) {
        byObjective.remove(call);
        return first.remove(call) || late.remove(call);
    }

    boolean isEmpty() {
        return first.isEmpty() && late.isEmpty();
    }

    WaitingCall peek(long nowMillis) {
        moveLate(nowMillis);
        return first.isEmpty() ? late.first() : first.first();
    }

    /** Passes on the calls in the order in which they are served. */
    void forEach(long nowMillis, Consumer<WaitingCall> consumer) {
        moveLate(nowMillis);
        first.forEach(consumer);
        late.forEach(consumer);
    }

    private void moveLate(long nowMillis) {
        Iterator<WaitingCall> oldest = byObjective.iterator();
        while (oldest.hasNext()) {
            WaitingCall call = oldest.next();
            if (call.onTimeReleaseMillis() >= nowMillis) {
                return;
            }
            oldest.remove();
            first.remove(call);
            late.add(call);
        }
    }
}
