package org.dogwoodwinch.forwarding;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Bounds repeats for each service without a counter in common: an instance spends a ratio of the requests that it took
 * itself and a fixed share of the slack.
 *
 * <p>Failure: a service fails, every instance repeats its calls, and the repeats keep it down. The sum over all
 * instances stays below ratio times requests plus slack, as each instance keeps to its own part and the shares add up
 * to the slack. Counted in slices of the window, so that any window that a slice begins is bounded. Not thread-safe.
 */
public final class RetryBudget {

    private static final int SLICES = 20;

    private final double ratio;
    private final double slack;
    private final long sliceMillis;
    private final Map<String, Ledger> ledgers = new HashMap<>();

    /**
     * Creates a budget.
     *
     * @param ratio repeats for each request taken here
     * @param slack repeats in a window beside these, the share of this instance alone
     * @param windowMillis the window
     */
    public RetryBudget(double ratio, double slack, long windowMillis) {
        this.ratio = ratio;
        this.slack = slack;
        this.sliceMillis = Math.max(1, windowMillis / SLICES);
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
        if (sum(ledger.repeats) + 1 > ratio * sum(ledger.requests) + slack) {
            return false;
        }
        ledger.repeats[ledger.index()]++;
        return true;
    }

    /**
     * Counts a repeat that was made without asking, as one that a target rejected.
     *
     * @param service the service's name, not null
     * @param nowMillis monotonic milliseconds
     */
    public void chargeRepeat(String service, long nowMillis) {
        Ledger ledger = ledger(service);
        ledger.turn(nowMillis / sliceMillis);
        ledger.repeats[ledger.index()]++;
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
        return Math.max(0, ratio * sum(ledger.requests) + slack - sum(ledger.repeats));
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
