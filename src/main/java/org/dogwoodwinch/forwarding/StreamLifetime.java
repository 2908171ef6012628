package org.dogwoodwinch.forwarding;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The longest time after its first event in which a stream may still be taken up, by the configurations and the callers'
 * deadlines under which streams have begun. Not thread-safe.
 *
 * <p>Failure: a configuration lowers a time-out. The begins of streams that run under the time-out before are forgotten
 * while their callers still come back, and a version that is alone since then passes for the one that began them.
 */
public final class StreamLifetime {

    /** A longer deadline counts as this one, since one caller makes an instance keep the begins of all streams. */
    private static final long MAX_DEADLINE_MILLIS = 600_000;

    /** Deadlines are what is left of a caller's time, so nearly each has another value. */
    private static final long DEADLINE_STEP_MILLIS = 500;

    private final long viewDifferenceMillis;

    /** From the longest bound, which was recorded first, to the shortest. */
    private final Deque<Bound> bounds = new ArrayDeque<>();

    /**
     * Creates an object that knows no bound.
     *
     * @param viewDifferenceMillis the time by which two instances may differ in what they see, which is added to each bound,
     *     in milliseconds
     */
    public StreamLifetime(long viewDifferenceMillis) {
        this.viewDifferenceMillis = viewDifferenceMillis;
    }

    /**
     * Records a time-out that is in force, and under which streams may begin now.
     *
     * @param timeoutMillis the longest time-out of a route whose streams may be resumed, in milliseconds
     * @param nowMillis the monotonic time
     */
    public void recordTimeout(long timeoutMillis, long nowMillis) {
        record(timeoutMillis, nowMillis);
    }

    /**
     * Records the deadline of a call whose stream may be resumed. A caller may come back until then, also where its time is
     * longer than the time-out of the route.
     *
     * @param deadlineMillis the time that the caller has left, in milliseconds; at most ten minutes count
     * @param nowMillis the monotonic time
     */
    public void recordDeadline(long deadlineMillis, long nowMillis) {
        long steps = (Math.min(deadlineMillis, MAX_DEADLINE_MILLIS) + DEADLINE_STEP_MILLIS - 1) / DEADLINE_STEP_MILLIS;
        record(steps * DEADLINE_STEP_MILLIS, nowMillis);
    }

    /**
     * Returns the longest time for which a stream that has begun may be taken up.
     *
     * @param nowMillis the monotonic time
     * @return milliseconds; the difference of views alone while nothing is recorded
     */
    public long millis(long nowMillis) {
        while (!bounds.isEmpty() && bounds.getFirst().untilMillis < nowMillis) {
            bounds.removeFirst();
        }
        return bounds.isEmpty() ? viewDifferenceMillis : bounds.getFirst().millis;
    }

    private void record(long ownMillis, long nowMillis) {
        long millis = ownMillis + viewDifferenceMillis;
        while (!bounds.isEmpty() && bounds.getLast().millis <= millis) {
            bounds.removeLast();
        }
        bounds.addLast(new Bound(millis, nowMillis + millis));
    }

    /** Streams that began until now live for {@code millis}, the last of them until {@code untilMillis}. */
    private record Bound(long millis, long untilMillis) {}
}
