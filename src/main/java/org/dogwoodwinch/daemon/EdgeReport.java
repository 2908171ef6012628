package org.dogwoodwinch.daemon;

import java.util.Objects;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.http.EdgeObserver;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.metrics.Metrics;
import org.dogwoodwinch.request.Refusal;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Records metrics and log lines for callers' requests: their acceptance, tokens and outcome. Thread-safe. */
final class EdgeReport implements EdgeObserver {

    private static final Logger log = LoggerFactory.getLogger(EdgeReport.class);

    private final Metrics metrics;

    /**
     * Creates an observer.
     *
     * @param metrics the daemon's metrics, not null
     */
    EdgeReport(Metrics metrics) {
        this.metrics = Objects.requireNonNull(metrics, "metrics");
    }

    @Override
    public void onAccepted(String requestId, CatalogueEntry entry) {
        metrics.requestStarted();
        LogEvent.of("accepted")
                .with("request", requestId)
                .with("entry", entry.name())
                .with("owner", entry.owner())
                .debug(log);
    }

    @Override
    public void onFirstToken(String requestId, long elapsedMillis) {
        metrics.observeFirstToken(elapsedMillis);
        LogEvent.of("first_token")
                .with("request", requestId)
                .with("elapsedMillis", elapsedMillis)
                .debug(log);
    }

    @Override
    public void onNextToken(long gapMillis) {
        metrics.observeBetweenTokens(gapMillis);
    }

    @Override
    public void onAnswered(String requestId, CatalogueEntry entry, int status, long tokens, long elapsedMillis) {
        metrics.requestEnded();
        metrics.countAnswer(entry.workClass());
        LogEvent.of("answered")
                .with("request", requestId)
                .with("entry", entry.name())
                .with("status", status)
                .with("tokens", tokens)
                .with("elapsedMillis", elapsedMillis)
                .info(log);
    }

    @Override
    public void onRefusedUnread(String requestId, Refusal refusal) {
        metrics.countRefusal(refusal);
        logRefusal(requestId, "", refusal, false);
    }

    @Override
    public void onRefused(String requestId, CatalogueEntry entry, Refusal refusal, boolean midStream) {
        metrics.requestEnded();
        metrics.countRefusal(refusal);
        logRefusal(requestId, entry.name(), refusal, midStream);
    }

    @Override
    public void onCallerLeft(String requestId, CatalogueEntry entry) {
        metrics.requestEnded();
        LogEvent.of("caller_left")
                .with("request", requestId)
                .with("entry", entry.name())
                .info(log);
    }

    private static void logRefusal(String requestId, String entry, Refusal refusal, boolean midStream) {
        LogEvent.of("refused")
                .with("request", requestId)
                .with("entry", entry)
                .with("reason", refusal.reason().label())
                .with("run", refusal.runState().label())
                .with("midStream", midStream)
                .with("detail", refusal.detail())
                .info(log);
    }
}
