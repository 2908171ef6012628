package org.dogwoodwinch.relay;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counts requests of callers that ended without a complete response. */
final class RequestEndMetrics {

    private final Counter callerDisconnects;
    private final Counter unanswered;

    /**
     * Registers the metrics.
     *
     * @param registry the registry for the metrics, not null
     */
    RequestEndMetrics(PrometheusRegistry registry) {
        this.callerDisconnects = Counter.builder()
                .name("dogwoodwinch_forwarded_callers_gone_total")
                .help("Callers that left before their answer's end.")
                .labelNames("kind")
                .register(registry);
        this.unanswered = Counter.builder()
                .name("dogwoodwinch_closed_without_answer_total")
                .help("Requests that were read and whose connection ended without a complete response, by cause.")
                .labelNames("cause")
                .register(registry);
        for (UnansweredRequest.Cause cause : UnansweredRequest.Cause.values()) {
            unanswered.initLabelValues(cause.label());
        }
    }

    void callerDisconnected(String kind) {
        callerDisconnects.labelValues(kind).inc();
    }

    void unanswered(UnansweredRequest.Cause cause) {
        unanswered.labelValues(cause.label()).inc();
    }
}
