package org.dogwoodwinch.http;

import java.util.concurrent.atomic.AtomicInteger;

/** Counts the requests that callers wait for; a stop waits until there is none. Thread-safe. */
public final class InFlightRequests {

    private final AtomicInteger count = new AtomicInteger();

    /** A request was taken. */
    void started() {
        count.incrementAndGet();
    }

    /** A request's answer was written, or its caller left. */
    void ended() {
        count.decrementAndGet();
    }

    /**
     * Returns how many there are.
     *
     * @return the count
     */
    public int count() {
        return count.get();
    }
}
