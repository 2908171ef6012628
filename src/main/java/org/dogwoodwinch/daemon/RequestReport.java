package org.dogwoodwinch.daemon;

import java.util.Objects;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.metrics.Metrics;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.request.RequestObserver;
import org.dogwoodwinch.request.RetryReason;
import org.dogwoodwinch.target.Target;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records metrics and log lines for attempts, retries and internal errors. Answers and refusals are recorded by {@link
 * EdgeReport} only, so that each is counted exactly once, whichever component decided it. Thread-safe.
 */
final class RequestReport implements RequestObserver {

    private static final Logger log = LoggerFactory.getLogger(RequestReport.class);

    private final Metrics metrics;

    /**
     * Creates an observer.
     *
     * @param metrics the daemon's metrics, not null
     */
    RequestReport(Metrics metrics) {
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void onAttemptSending(CallerRequest request, String attemptId, Target target) {
        LogEvent.of("attempt")
                .with("request", request.requestId())
                .with("attempt", attemptId)
                .with("target", target.name())
                .debug(log);
    }

    @Override
    public void onRetry(CallerRequest request, RetryReason reason) {
        metrics.countRetry(reason);
        LogEvent.of("retry")
                .with("request", request.requestId())
                .with("reason", reason.label())
                .info(log);
    }

    /** Logs the exception, because the caller receives only {@code internal}, which does not identify the fault. */
    @Override
    public void onInternalError(CallerRequest request, RuntimeException fault) {
        metrics.countEvent("request_fault");
        log.error("{}", LogEvent.of("request_fault").with("request", request.requestId()), fault);
    }

    @Override
    public void onLateAnswerDropped(CallerRequest request) {
        metrics.countEvent("late_answer_dropped");
        LogEvent.of("late_answer_dropped").with("request", request.requestId()).info(log);
    }

    @Override
    public void onResendJoined(CallerRequest request) {
        metrics.countEvent("resend_joined");
        LogEvent.of("resend_joined").with("request", request.requestId()).info(log);
    }
}
