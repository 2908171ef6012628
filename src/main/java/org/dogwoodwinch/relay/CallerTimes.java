package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.dogwoodwinch.forwarding.CallerLimits;
import org.dogwoodwinch.time.TimeSource;

/**
 * When the request that is read on a caller's connection, or the connection's idle time, has begun, and the limits that were
 * in force then. Confined to one event loop.
 */
final class CallerTimes {

    private static final long NONE = -1;

    private final Supplier<CallerLimits> limitsInForce;
    private final TimeSource time;
    private CallerLimits limitsAtStart;
    private long requestStartMillis = NONE;
    private long idleSinceMillis;

    /**
     * Creates the times of a connection on which no request has begun.
     *
     * @param limitsInForce supplies the limits in force, not null
     * @param time the clock, not null
     */
    CallerTimes(Supplier<CallerLimits> limitsInForce, TimeSource time) {
        this.limitsInForce = Objects.requireNonNull(limitsInForce, "limitsInForce");
        this.time = Objects.requireNonNull(time, "time");
        this.limitsAtStart = limitsInForce.get();
    }

    /** Returns the limits that bound the request that is being read. */
    CallerLimits limitsAtStart() {
        return limitsAtStart;
    }

    /** Returns whether a request has begun of which not everything was read. */
    boolean isRequestBegun() {
        return requestStartMillis != NONE;
    }

    /** Returns when the request that is being read has begun, in monotonic milliseconds. */
    long requestStartMillis() {
        return requestStartMillis;
    }

    void beginRequest() {
        requestStartMillis = time.monotonicMillis();
        limitsAtStart = limitsInForce.get();
    }

    /** Records that a request was read whole; what follows it at once begins the next one, by the same limits. */
    void beginNextRequest() {
        requestStartMillis = time.monotonicMillis();
    }

    void endRequest() {
        requestStartMillis = NONE;
    }

    void beginIdle() {
        idleSinceMillis = time.monotonicMillis();
        limitsAtStart = limitsInForce.get();
    }

    boolean isIdleFor(long quietMillis) {
        return !isRequestBegun() && time.monotonicMillis() - idleSinceMillis >= quietMillis;
    }

    /** Returns whether the head of the request that is being read takes too long. */
    boolean isHeadLate() {
        return isRequestBegun()
                && time.monotonicMillis() - requestStartMillis > longest(CallerLimits::headerTimeoutMillis);
    }

    /** Returns the longest time for which the connection may be idle, in milliseconds. */
    long idleTimeoutMillis() {
        return longest(CallerLimits::idleTimeoutMillis);
    }

    /** A caller may still go by the limits of the time when it began, or already by those in force. */
    private long longest(ToLongFunction<CallerLimits> limit) {
        return Math.max(limit.applyAsLong(limitsAtStart), limit.applyAsLong(limitsInForce.get()));
    }
}
