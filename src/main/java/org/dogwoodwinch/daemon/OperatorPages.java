package org.dogwoodwinch.daemon;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.control.ControlEndpoint;
import org.dogwoodwinch.control.ControlResponse;
import org.dogwoodwinch.control.ControlStatus;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.http.InFlightRequests;
import org.dogwoodwinch.http.OperatorAnswer;
import org.dogwoodwinch.http.OperatorPage;
import org.dogwoodwinch.http.ServingState;
import org.dogwoodwinch.metrics.Metrics;
import org.dogwoodwinch.request.QuarantineEndpoint;
import org.dogwoodwinch.routing.TargetSummary;
import org.dogwoodwinch.settings.InstanceSettings;
import org.dogwoodwinch.status.InstanceStatus;
import org.dogwoodwinch.status.PeerStatus;
import org.dogwoodwinch.status.TargetStatus;
import org.dogwoodwinch.target.Target;

/** What the operators' listener shows. */
final class OperatorPages {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final InstanceSettings instance;
    private final Metrics metrics;
    private final DaemonParts parts;
    private final InFlightRequests inFlight;
    private final Supplier<ServingState> serving;

    /**
     * Creates the pages.
     *
     * @param instance who this instance is, not null
     * @param metrics the counters, not null
     * @param parts what the pages show, not null
     * @param inFlight counts requests, not null
     * @param serving whether requests are taken, not null
     */
    OperatorPages(
            InstanceSettings instance,
            Metrics metrics,
            DaemonParts parts,
            InFlightRequests inFlight,
            Supplier<ServingState> serving) {
        this.instance = Objects.requireNonNull(instance, "instance");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.parts = Objects.requireNonNull(parts, "parts");
        this.inFlight = Objects.requireNonNull(inFlight, "inFlight");
        this.serving = Objects.requireNonNull(serving, "serving");
    }

    /**
     * Returns the pages by path.
     *
     * @return the map
     */
    Map<String, OperatorPage> byPath() {
        ControlEndpoint endpoint = new ControlEndpoint(parts.control());
        QuarantineEndpoint quarantine = new QuarantineEndpoint(parts.peers().suspects());
        OperatorPage quarantinePage = call -> now(toAnswer(
                quarantine.handle(call.method(), call.path(), call.body().toUtf8())));
        return Map.of(
                "/metrics",
                _call -> now(metricsPage()),
                "/healthz",
                _call -> now(OperatorAnswer.text(OK, "ok")),
                "/readyz",
                _call -> now(readyPage()),
                "/status",
                _call -> now(OperatorAnswer.json(status())),
                QuarantineEndpoint.LIST_PATH,
                quarantinePage,
                QuarantineEndpoint.LIFT_PATH,
                quarantinePage,
                ControlEndpoint.PATH_PREFIX,
                call -> endpoint.handle(call.method(), call.path(), call.body().toUtf8())
                        .thenApply(OperatorPages::toAnswer));
    }

    private static OperatorAnswer toAnswer(QuarantineEndpoint.Response answer) {
        return new OperatorAnswer(answer.status(), "application/json", Bytes.ofUtf8(answer.body()));
    }

    private static CompletionStage<OperatorAnswer> now(OperatorAnswer answer) {
        return CompletableFuture.completedFuture(answer);
    }

    private static OperatorAnswer toAnswer(ControlResponse response) {
        return new OperatorAnswer(response.status(), response.contentType(), Bytes.ofUtf8(response.body()));
    }

    private OperatorAnswer metricsPage() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, metrics.registry().scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new OperatorAnswer(OK, PrometheusTextFormatWriter.CONTENT_TYPE, Bytes.of(out.toByteArray()));
    }

    private OperatorAnswer readyPage() {
        String missing = notReadyReason();
        return missing.isEmpty() ? OperatorAnswer.text(OK, "ready") : OperatorAnswer.text(UNAVAILABLE, missing);
    }

    private String notReadyReason() {
        if (serving.get() != ServingState.SERVING) {
            return "stopping";
        }
        if (parts.control().catalogue().current().isEmpty()) {
            return "no catalogue yet";
        }
        return parts.directory().hasAnswered() ? "" : "no instance list yet";
    }

    private InstanceStatus status() {
        ControlStatus stream = parts.control().status();
        List<TargetStatus> targets =
                parts.fleet().targetSummaries().stream().map(this::targetStatus).toList();
        List<PeerStatus> peers = parts.directory().latest().stream()
                .filter(line -> line.kind() == ListedInstance.Kind.ENTRY)
                .filter(line -> !line.name().equals(instance.name()))
                .map(line -> new PeerStatus(
                        line.name(), line.dataCentre(), parts.peers().watch().heardMillis(line.name())))
                .toList();
        return new InstanceStatus(
                instance.name(),
                instance.dataCentre(),
                notReadyReason().isEmpty(),
                serving.get() != ServingState.SERVING,
                stream.catalogueRevision(),
                stream.coveredOffset() + 1,
                !stream.logOut(),
                inFlight.count(),
                targets,
                peers,
                parts.control().leasedGroups());
    }

    private TargetStatus targetStatus(TargetSummary summary) {
        Target target = summary.target();
        String state = summary.draining() ? "leaving" : summary.usable() ? "serving" : "failing";
        return new TargetStatus(
                target.name(),
                target.group(),
                target.dataCentre(),
                target.address(),
                state,
                summary.role().name().toLowerCase(Locale.ROOT),
                summary.prefillBacklogTokens(),
                summary.decodeBacklogTokens(),
                summary.outstandingRequests(),
                parts.poller().reportAgeMillis(target.name()));
    }
}
