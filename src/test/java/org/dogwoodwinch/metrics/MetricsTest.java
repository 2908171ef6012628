package org.dogwoodwinch.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.request.RetryReason;
import org.dogwoodwinch.request.RunState;
import org.junit.jupiter.api.Test;

class MetricsTest {

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Metrics metrics = new Metrics(registry);

    @Test
    void everyReasonIsThereAtZeroFromTheStart() {
        assertEquals(
                RefusalReason.values().length * RunState.values().length,
                counter("dogwoodwinch_refusals").getDataPoints().size());
        assertEquals(
                RetryReason.values().length,
                counter("dogwoodwinch_retries").getDataPoints().size());
    }

    @Test
    void aRefusalCountsUnderItsReasonAndRunState() {
        metrics.countRefusal(Refusal.mayHaveRun(RefusalReason.TARGET_FAILED, "broken"));
        double counted = counter("dogwoodwinch_refusals").getDataPoints().stream()
                .filter(point -> point.getLabels().get("reason").equals("target_failed"))
                .filter(point -> point.getLabels().get("run").equals("may-have-run"))
                .findFirst()
                .orElseThrow()
                .getValue();
        assertEquals(1, counted);
    }

    private CounterSnapshot counter(String name) {
        return (CounterSnapshot) registry.scrape(name::equals).get(0);
    }
}
