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
 * Counts and logs what becomes of attempts. Answers and refusals are counted at the edge, by {@link EdgeReport}, so that
 * each is counted once whoever decided it. Thread-safe.
 */
final class RequestReport implements RequestObserver {

    private static final Logger log = LoggerFactory.getLogger(RequestReport.class);

    private final Metrics metrics;

    /**
     * Creates a report.
     *
     * @param metrics counts, not null
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

    /** The caller sees only {@code internal}: without this line and count, nobody could find the broken invariant. */
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
