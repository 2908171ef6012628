package org.dogwoodwinch.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Decisions that were taken and not yet told; told outside the monitor, one after another, by one thread at a time.
 *
 * <p>Told under the monitor, a listener that asks for admission itself would deadlock or nest without end.
 */
final class DecisionQueue {

    private final Deque<Runnable> decisions = new ArrayDeque<>();
    private boolean delivering;
    private boolean recheckRequested;

    synchronized void add(Runnable decision) {
        decisions.add(decision);
    }

    /**
     * Becomes the teller, unless someone is; that one then looks once more before it stops, or a request that came in
     * between would wait for the next sweep.
     */
    synchronized boolean tryStartDelivery() {
        if (delivering) {
            recheckRequested = true;
            return false;
        }
        delivering = true;
        return true;
    }

    synchronized Runnable poll() {
        return decisions.poll();
    }

    /** Stops telling, unless there is reason to look again. */
    synchronized boolean tryStopDelivery() {
        if (recheckRequested) {
            recheckRequested = false;
            return false;
        }
        delivering = false;
        return true;
    }

    synchronized void abortDelivery() {
        delivering = false;
    }
}
