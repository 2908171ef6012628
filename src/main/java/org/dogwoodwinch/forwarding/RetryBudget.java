package org.dogwoodwinch.forwarding;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.DoubleSupplier;

/**
 * Bounds repeats for each service without a counter in common: an instance spends a ratio of the requests that it took
 * itself and a fixed share of the slack.
 *
 * <p>An instance that starts anew has forgotten what it spent, so its share of the slack is its own only a window after
 * its start; requests and repeats forgotten together keep the ratio.
 *
 * <p>Failure: a service fails, every instance repeats its calls, and the repeats keep it down. The sum over all
 * instances stays below ratio times requests plus slack, as each instance keeps to its own part and the shares add up
 * to the slack. Counted in slices of the window, so that any window that a slice begins is bounded. Not thread-safe.
 */
public final class RetryBudget {

    private static final int SLICES_COUNT = 20;

    /**
     * The part of the ratio that is spent. Requests are judged in the span of the repeats, the one before and the one half
     * a span before; the span that ends with the last repeat can lie between two of these and hold a third more.
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
     * @param ratio repeats for each request taken here
     * @param slackShare repeats in a window beside these, the share of this instance alone; asked each time, as it falls
     *     when there are more instances, not null
     * @param windowMillis the window
     * @param startedMillis when this instance started, in monotonic milliseconds
     */
    public RetryBudget(double ratio, DoubleSupplier slackShare, long windowMillis, long startedMillis) {
        this.ratio = ratio * USABLE_RATIO;
        this.slackShare = Objects.requireNonNull(slackShare, "slackShare");
        this.slackAvailableFromMillis = startedMillis + windowMillis;
        this.sliceMillis = Math.max(1, windowMillis / SLICES_COUNT);
    }

    /**
     * Puts another ratio in force; what was spent stays spent.
     *
     * @param newRatio repeats for each request taken here
     */
    public void reconfigure(double newRatio) {
        ratio = newRatio * USABLE_RATIO;
    }

    /**
     * Counts a request that a caller sent for a service.
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
     * Takes one repeat where the window allows one more.
     *
     * @param service the service's name, not null
     * @param nowMillis monotonic milliseconds
     * @return whether it was taken
     */
    public boolean takeRepeat(String service, long nowMillis) {
        SlidingWindow window = window(service);
        window.advanceTo(nowMillis / sliceMillis);
        if (sum(window.retries) + 1 > allowedRetries(window, nowMillis)) {
            return false;
        }
        window.retries[window.currentIndex()]++;
        return true;
    }

    /**
     * Returns what is left.
     *
     * @param service the service's name, not null
     * @param nowMillis monotonic milliseconds
     * @return repeats that could be taken now, not negative
     */
    public double left(String service, long nowMillis) {
        SlidingWindow window = window(service);
        window.advanceTo(nowMillis / sliceMillis);
        return Math.max(0, allowedRetries(window, nowMillis) - sum(window.retries));
    }

    private double allowedRetries(SlidingWindow window, long nowMillis) {
        return ratio * sum(window.requests) + (nowMillis < slackAvailableFromMillis ? 0 : slackShare.getAsDouble());
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
        private final int[] requests = new int[SLICES_COUNT];
        private final int[] retries = new int[SLICES_COUNT];
        private long slice = Long.MIN_VALUE;

        int currentIndex() {
            return Math.floorMod(slice, SLICES_COUNT);
        }

        void advanceTo(long currentSlice) {
            if (slice == Long.MIN_VALUE || currentSlice - slice >= SLICES_COUNT) {
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
