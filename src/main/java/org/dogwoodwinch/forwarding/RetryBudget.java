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

    private static final int SLICES = 20;

    /**
     * The part of the ratio that is spent. Requests are judged in the span of the repeats, the one before and the one half
     * a span before; the span that ends with the last repeat can lie between two of these and hold a third more.
     */
    private static final double SPENT_PART = 0.75;

    private double ratio;
    private final DoubleSupplier slackShare;
    private final long slackFromMillis;
    private final long sliceMillis;
    private final Map<String, Ledger> ledgers = new HashMap<>();

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
        this.ratio = ratio * SPENT_PART;
        this.slackShare = Objects.requireNonNull(slackShare, "slackShare");
        this.slackFromMillis = startedMillis + windowMillis;
        this.sliceMillis = Math.max(1, windowMillis / SLICES);
    }

    /**
     * Puts another ratio in force; what was spent stays spent.
     *
     * @param freshRatio repeats for each request taken here
     */
    public void reconfigure(double freshRatio) {
        ratio = freshRatio * SPENT_PART;
    }

    /**
     * Counts a request that a caller sent for a service.
     *
     * @param service the service's name, not null
     * @param nowMillis monotonic milliseconds
     */
    public void countRequest(String service, long nowMillis) {
        Ledger ledger = ledger(service);
        ledger.turn(nowMillis / sliceMillis);
        ledger.requests[ledger.index()]++;
    }

    /**
     * Takes one repeat where the window allows one more.
     *
     * @param service the service's name, not null
     * @param nowMillis monotonic milliseconds
     * @return whether it was taken
     */
    public boolean takeRepeat(String service, long nowMillis) {
        Ledger ledger = ledger(service);
        ledger.turn(nowMillis / sliceMillis);
        if (sum(ledger.repeats) + 1 > allowed(ledger, nowMillis)) {
            return false;
        }
        ledger.repeats[ledger.index()]++;
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
        Ledger ledger = ledger(service);
        ledger.turn(nowMillis / sliceMillis);
        return Math.max(0, allowed(ledger, nowMillis) - sum(ledger.repeats));
    }

    private double allowed(Ledger ledger, long nowMillis) {
        return ratio * sum(ledger.requests) + (nowMillis < slackFromMillis ? 0 : slackShare.getAsDouble());
    }

    private Ledger ledger(String service) {
        return ledgers.computeIfAbsent(service, _name -> new Ledger());
    }

    private static int sum(int[] slices) {
        int sum = 0;
        for (int slice : slices) {
            sum += slice;
        }
        return sum;
    }

    private static final class Ledger {
        private final int[] requests = new int[SLICES];
        private final int[] repeats = new int[SLICES];
        private long slice = Long.MIN_VALUE;

        int index() {
            return Math.floorMod(slice, SLICES);
        }

        void turn(long now) {
            if (slice == Long.MIN_VALUE || now - slice >= SLICES) {
                Arrays.fill(requests, 0);
                Arrays.fill(repeats, 0);
                slice = now;
                return;
            }
            while (slice < now) {
                slice++;
                requests[index()] = 0;
                repeats[index()] = 0;
            }
        }
    }
}
