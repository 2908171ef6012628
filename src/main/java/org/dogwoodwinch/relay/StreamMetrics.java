package org.dogwoodwinch.relay;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counts what becomes of streams that callers take up. */
final class StreamMetrics {

    private final Counter takenUp;
    private final Counter takeUpsEnded;
    private final Counter begins;
    private final Counter besidePrefills;

    /**
     * Registers the metrics.
     *
     * @param registry the registry for the metrics, not null
     */
    StreamMetrics(PrometheusRegistry registry) {
        this.takenUp = Counter.builder()
                .name("dogwoodwinch_streams_taken_up_total")
                .help("Streams that callers took up, by how the software version that began them was known.")
                .labelNames("known_by")
                .register(registry);
        this.takeUpsEnded = Counter.builder()
                .name("dogwoodwinch_stream_take_ups_ended_total")
                .help("Streams that callers took up, by what came of it.")
                .labelNames("outcome")
                .register(registry);
        this.begins = Counter.builder()
                .name("dogwoodwinch_stream_begins_told_total")
                .help("Streams of which other instances were to be told later than at their begin, by what came of it.")
                .labelNames("outcome")
                .register(registry);
        this.besidePrefills = Counter.builder()
                .name("dogwoodwinch_streams_beside_prefills_total")
                .help("Streams that ran beside a long prefill at their target, by whether an event came too late.")
                .labelNames("service", "late")
                .register(registry);
    }

    void takenUp(String knownBy) {
        takenUp.labelValues(knownBy).inc();
    }

    void takeUpEnded(String outcome) {
        takeUpsEnded.labelValues(outcome).inc();
    }

    void beginsTold(String outcome, int count) {
        begins.labelValues(outcome).inc(count);
    }

    void besidePrefill(String service, boolean late) {
        besidePrefills.labelValues(service, Boolean.toString(late)).inc();
    }
}
