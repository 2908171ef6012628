package org.dogwoodwinch.relay;

import java.util.Objects;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Counts the requests that ended without a complete response, and logs those that this instance ended. Callers that leave
 * have lines of their own. Confined to one event loop.
 */
final class UnansweredRequests {

    private static final Logger log = LoggerFactory.getLogger(UnansweredRequests.class);
    private static final long LOG_WINDOW_MILLIS = 1_000;

    /** Bounds the lines when many connections end at once. */
    private static final int MAX_LINES_PER_WINDOW = 20;

    private final RequestEndMetrics metrics;
    private final CallHeaders callHeaders;
    private final TimeSource time;
    private long windowBeginMillis = Long.MIN_VALUE / 2;
    private int windowLinesCount;
    private int unloggedCount;

    /**
     * Creates a log.
     *
     * @param metrics counts each request, not null
     * @param callHeaders parses the request ids, not null
     * @param time the clock, not null
     */
    UnansweredRequests(RequestEndMetrics metrics, CallHeaders callHeaders, TimeSource time) {
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.callHeaders = Objects.requireNonNull(callHeaders, "callHeaders");
        this.time = Objects.requireNonNull(time, "time");
    }

    /**
     * Records the end of a request.
     *
     * @param ended the request, not null
     */
    void record(UnansweredRequest ended) {
        metrics.unanswered(ended.cause());
        if (ended.cause() == UnansweredRequest.Cause.CALLER) {
            return;
        }
        long nowMillis = time.monotonicMillis();
        if (nowMillis - windowBeginMillis >= LOG_WINDOW_MILLIS) {
            windowBeginMillis = nowMillis;
            windowLinesCount = 0;
        }
        if (windowLinesCount >= MAX_LINES_PER_WINDOW) {
            unloggedCount++;
            return;
        }
        windowLinesCount++;
        LogEvent.of("request_ended_without_answer")
                .with(
                        "request",
                        callHeaders
                                .parseCall(ended.call().headers())
                                .requestId()
                                .orElse(""))
                .with("cause", ended.cause().label())
                .with("passedOn", ended.passedOn())
                .with("ageMillis", nowMillis - ended.call().arrivalMillis())
                .with("unlogged", unloggedCount)
                .info(log);
        unloggedCount = 0;
    }
}
