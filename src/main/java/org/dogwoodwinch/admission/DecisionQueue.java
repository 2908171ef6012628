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
    private boolean telling;
    private boolean askedAgain;

    synchronized void add(Runnable decision) {
        decisions.add(decision);
    }

    /**
     * Becomes the teller, unless someone is; that one then looks once more before it stops, or a request that came in
     * between would wait for the next sweep.
     */
    synchronized boolean startTelling() {
        if (telling) {
            askedAgain = true;
            return false;
        }
        telling = true;
        return true;
    }

    synchronized Runnable next() {
        return decisions.poll();
    }

    /** Stops telling, unless there is reason to look again. */
    synchronized boolean stopTelling() {
        if (askedAgain) {
            askedAgain = false;
            return false;
        }
        telling = false;
        return true;
    }

    synchronized void abortTelling() {
        telling = false;
    }
}
