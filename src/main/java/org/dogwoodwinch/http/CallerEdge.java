package org.dogwoodwinch.http;

import java.util.Objects;
import java.util.function.Supplier;
import org.dogwoodwinch.request.RequestHandler;
import org.dogwoodwinch.time.TimeSource;

/**
 * What the callers' connections share.
 *
 * @param reader reads requests, not null
 * @param handler sees them through, not null
 * @param requestIds names them, not null
 * @param serving whether requests are taken, not null
 * @param observer hears what becomes of them, not null
 * @param inFlight counts them, not null
 * @param limits the bounds of one connection, not null
 * @param time gives the time and runs the timers, not null
 */
public record CallerEdge(
        CallerRequestReader reader,
        RequestHandler handler,
        Supplier<String> requestIds,
        Supplier<ServingState> serving,
        EdgeObserver observer,
        InFlightRequests inFlight,
        HttpLimits limits,
        TimeSource time) {

    /** Checks the parts. */
    public CallerEdge {
        Objects.requireNonNull(reader, "reader");
        Objects.requireNonNull(handler, "handler");
        Objects.requireNonNull(requestIds, "requestIds");
        Objects.requireNonNull(serving, "serving");
        Objects.requireNonNull(observer, "observer");
        Objects.requireNonNull(inFlight, "inFlight");
        Objects.requireNonNull(limits, "limits");
        Objects.requireNonNull(time, "time");
    }
}
