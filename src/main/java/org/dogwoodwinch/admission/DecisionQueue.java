package org.dogwoodwinch.admission;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Decisions that were made but not yet delivered to their listeners. One thread at a time delivers them, in order and
 * outside the admission monitor.
 *
 * <p>If they were delivered under that monitor, a listener that requests admission itself could deadlock or recurse
 * without bound.
 */
final class DecisionQueue {

    private final Deque<Runnable> decisions = new ArrayDeque<>();
    private boolean delivering;
    private boolean recheckRequested;

    synchronized void add(Runnable decision) {
        decisions.add(decision);
    }

    /**
     * Makes the calling thread deliver the decisions and returns true, unless another thread delivers already. That
     * thread then checks once more before it stops; otherwise a request that arrives meanwhile would wait for the next
     * sweep.
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

    /** Ends delivery and returns true, or returns false if another check was requested meanwhile. */
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
