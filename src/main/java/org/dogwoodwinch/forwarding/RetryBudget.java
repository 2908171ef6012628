package org.dogwoodwinch.forwarding;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.DoubleSupplier;

/**
 * Limits the retries for each service without a counter shared among instances: an instance may spend a ratio of the
 * requests that it sent to targets itself, and its own share of the slack. A request that one instance passes on to
 * another is counted by the one that sends it first, and by no other.
 *
 * <p>A restarted instance does not know what it spent before. Its share of the slack is therefore available only one
 * window after its start. The ratio needs no such delay, because requests and retries are lost together.
 *
 * <p>Failure: a service fails, every instance retries its calls, and the retries keep the service overloaded. The sum
 * over all instances stays below ratio times requests plus slack, because each instance observes its own part and the
 * shares add up to the slack. Counts are kept in slices. Retries are counted for one slice longer than the window: a
 * window that begins within a slice contains the rest of that slice and the beginning of another, and a fleet that the
 * budget holds back would otherwise spend its slack in both. Not thread-safe.
 */
public final class RetryBudget {

    private static final int WINDOW_SLICES_COUNT = 20;
    private static final int RETAINED_SLICES_COUNT = WINDOW_SLICES_COUNT + 1;

    /**
     * Part of the ratio that is used. Requests are measured in the same time span as the retries, in the span before
     * it, and in the span that begins half a span earlier. The span that ends with the last retry can lie between two
     * of these and contain a third more.
     */
    private static final double USABLE_RATIO = 0.75;

    private double ratio;
    private final DoubleSupplier slackShare;
    private final long slackAvailableFromMillis;
    private final long sliceMillis;
    private final Map<String, SlidingWindow> windows = new HashMap<>();

    /**
     * Creates a budget.
     *
     * @param ratio the retries allowed per request counted by this instance
     * @param slackShare this instance's share of the additional retries per window; read at each use because it falls
     *     as the number of instances grows, not null
     * @param windowMillis the length of the window
     * @param startedMillis the start time of this instance, in monotonic milliseconds
     */
    public RetryBudget(double ratio, DoubleSupplier slackShare, long windowMillis, long startedMillis) {
        this.ratio = ratio * USABLE_RATIO;
        this.slackShare = Objects.requireNonNull(slackShare, "slackShare");
        this.slackAvailableFromMillis = startedMillis + windowMillis;
        this.sliceMillis = Math.max(1, windowMillis / WINDOW_SLICES_COUNT);
    }

    /**
     * Changes the ratio. Retries already spent remain counted.
     *
     * @param newRatio the retries allowed per request counted by this instance
     */
    public void setRatio(double newRatio) {
        ratio = newRatio * USABLE_RATIO;
    }

    /**
     * Counts a request when this instance first writes it to a target of a service.
     *
     * @param service the service's name, not null
     * @param nowMillis monotonic milliseconds
     */
    public void countRequest(String service, long nowMillis) {
        SlidingWindow window = window(service);
        window.advanceTo(nowMillis / sliceMillis);
        window.requests[window.currentIndex()]++;
    }

    /**
     * Takes one retry if the budget of the current window allows it.
     *
     * @param service the service's name, not null
     * @param nowMillis monotonic milliseconds
     * @return whether the retry may be sent
     */
    public boolean tryTakeRetry(String service, long nowMillis) {
        SlidingWindow window = window(service);
        window.advanceTo(nowMillis / sliceMillis);
        if (sum(window.retries) + 1 > allowedRetries(window, nowMillis)) {
            return false;
        }
        window.retries[window.currentIndex()]++;
        return true;
    }

    /**
     * Returns the remaining budget.
     *
     * @param service the service's name, not null
     * @param nowMillis monotonic milliseconds
     * @return the number of retries that could be taken now, not negative
     */
    public double remaining(String service, long nowMillis) {
        SlidingWindow window = window(service);
        window.advanceTo(nowMillis / sliceMillis);
        return Math.max(0, allowedRetries(window, nowMillis) - sum(window.retries));
    }

    private double allowedRetries(SlidingWindow window, long nowMillis) {
        return ratio * window.requestsInWindow()
                + (nowMillis < slackAvailableFromMillis ? 0 : slackShare.getAsDouble());
    }

    private SlidingWindow window(String service) {
        return windows.computeIfAbsent(service, _name -> new SlidingWindow());
    }

    private static int sum(int[] slices) {
        int sum = 0;
        for (int slice : slices) {
            sum += slice;
        }
        return sum;
    }

    private static final class SlidingWindow {
        private final int[] requests = new int[RETAINED_SLICES_COUNT];
        private final int[] retries = new int[RETAINED_SLICES_COUNT];
        private long slice = Long.MIN_VALUE;

        int currentIndex() {
            return Math.floorMod(slice, RETAINED_SLICES_COUNT);
        }

        int requestsInWindow() {
            int oldestIndex = Math.floorMod(slice + 1, RETAINED_SLICES_COUNT);
            return sum(requests) - requests[oldestIndex];
        }

        void advanceTo(long currentSlice) {
            if (slice == Long.MIN_VALUE || currentSlice - slice >= RETAINED_SLICES_COUNT) {
                Arrays.fill(requests, 0);
                Arrays.fill(retries, 0);
                slice = currentSlice;
                return;
            }
            while (slice < currentSlice) {
                slice++;
                requests[currentIndex()] = 0;
                retries[currentIndex()] = 0;
            }
        }
    }
}
