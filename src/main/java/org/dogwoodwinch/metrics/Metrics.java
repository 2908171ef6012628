package org.dogwoodwinch.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.Objects;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.request.RetryReason;
import org.dogwoodwinch.request.RunState;

/**
 * The metrics of one daemon, on a registry of its own.
 *
 * <p>Every label value is there at zero from the start: a counter that first appears with its first failure gives an
 * alert on its rate nothing to compare with. Thread-safe.
 */
public final class Metrics {

    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double[] LATENCY_SECONDS = {
        0.005, 0.01, 0.02, 0.035, 0.053, 0.08, 0.15, 0.3, 0.6, 1, 1.4, 2.5, 5, 10, 30, 60, 300
    };

    private final PrometheusRegistry registry;
    private final Counter refusals;
    private final Counter retries;
    private final Counter answers;
    private final Counter events;
    private final Gauge inFlight;
    private final Gauge catalogueRevision;
    private final Histogram firstTokenSeconds;
    private final Histogram betweenTokensSeconds;

    /**
     * Registers the metrics.
     *
     * @param registry where they are registered, not null; not shared between daemons of one process
     */
    public Metrics(PrometheusRegistry registry) {
        this.registry = Objects.requireNonNull(registry, "registry");
        this.refusals = Counter.builder()
                .name("dogwoodwinch_refusals_total")
                .help("Requests refused, by reason and by whether they may have run.")
                .labelNames("reason", "run")
                .register(registry);
        this.retries = Counter.builder()
                .name("dogwoodwinch_retries_total")
                .help("Attempts that followed a failed one, by the reason of the failure.")
                .labelNames("reason")
                .register(registry);
        this.answers = Counter.builder()
                .name("dogwoodwinch_answers_total")
                .help("Requests answered whole, by class of work.")
                .labelNames("class")
                .register(registry);
        this.events = Counter.builder()
                .name("dogwoodwinch_events_total")
                .help("Things worth an operator's notice, by name.")
                .labelNames("event")
                .register(registry);
        this.inFlight = Gauge.builder()
                .name("dogwoodwinch_requests_in_flight")
                .help("Requests taken and not yet answered or refused.")
                .register(registry);
        this.catalogueRevision = Gauge.builder()
                .name("dogwoodwinch_catalogue_revision")
                .help("The revision of the catalogue in force here; -1 without one.")
                .register(registry);
        this.firstTokenSeconds = histogram("dogwoodwinch_first_token_seconds", "Arrival to first token.");
        this.betweenTokensSeconds = histogram("dogwoodwinch_between_tokens_seconds", "Time between two tokens.");
        startAtZero();
    }

    /**
     * Returns the registry.
     *
     * @return the registry that the operators' listener shows
     */
    public PrometheusRegistry registry() {
        return registry;
    }

    /**
     * Counts a refusal.
     *
     * @param refusal the refusal, not null
     */
    public void countRefusal(Refusal refusal) {
        refusals.labelValues(refusal.reason().label(), refusal.runState().label())
                .inc();
    }

    /**
     * Counts a retry.
     *
     * @param reason why, not null
     */
    public void countRetry(RetryReason reason) {
        retries.labelValues(reason.label()).inc();
    }

    /**
     * Counts a whole answer.
     *
     * @param workClass its class of work, not null
     */
    public void countAnswer(WorkClass workClass) {
        answers.labelValues(label(workClass)).inc();
    }

    /**
     * Counts something worth an operator's notice, such as a late answer that was dropped.
     *
     * @param event its name in lower case with underscores, from a closed set, not null
     */
    public void countEvent(String event) {
        events.labelValues(event).inc();
    }

    /** A request was taken. */
    public void requestStarted() {
        inFlight.inc();
    }

    /** A request was answered, refused or left by its caller. */
    public void requestEnded() {
        inFlight.dec();
    }

    /**
     * Shows the catalogue's revision.
     *
     * @param revision the revision in force, or -1
     */
    public void showCatalogueRevision(long revision) {
        catalogueRevision.set((double) revision);
    }

    /**
     * Observes the time from a request's arrival to its first token.
     *
     * @param millis milliseconds
     */
    public void observeFirstToken(long millis) {
        firstTokenSeconds.observe(millis / MILLIS_PER_SECOND);
    }

    /**
     * Observes the time between two tokens of an answer.
     *
     * @param millis milliseconds
     */
    public void observeBetweenTokens(long millis) {
        betweenTokensSeconds.observe(millis / MILLIS_PER_SECOND);
    }

    private void startAtZero() {
        for (RefusalReason reason : RefusalReason.values()) {
            for (RunState run : RunState.values()) {
                refusals.initLabelValues(reason.label(), run.label());
            }
        }
        for (RetryReason reason : RetryReason.values()) {
            retries.initLabelValues(reason.label());
        }
        for (WorkClass workClass : WorkClass.values()) {
            answers.initLabelValues(label(workClass));
        }
        catalogueRevision.set(-1);
    }

    private Histogram histogram(String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(LATENCY_SECONDS)
                .register(registry);
    }

    private static String label(WorkClass workClass) {
        return workClass.name().toLowerCase(Locale.ROOT);
    }
}
