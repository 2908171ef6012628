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
import org.dogwoodwinch.request.SegmentQuarantine;
import org.dogwoodwinch.routing.TargetSummary;
import org.dogwoodwinch.settings.InstanceSettings;
import org.dogwoodwinch.status.InstanceStatus;
import org.dogwoodwinch.status.PeerStatus;
import org.dogwoodwinch.status.TargetStatus;
import org.dogwoodwinch.target.Target;

/** The pages that the operators' listener serves: metrics, health, readiness, status, quarantine and control. */
final class OperatorPages {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final InstanceSettings ownInstance;
    private final Metrics metrics;
    private final DaemonComponents components;
    private final InFlightRequests inFlight;
    private final Supplier<ServingState> servingState;

    /**
     * Creates the pages.
     *
     * @param ownInstance the name and data centre of this instance, not null
     * @param metrics the daemon's metrics, not null
     * @param components the daemon's components, whose state the pages show, not null
     * @param inFlight the number of callers' requests in flight, not null
     * @param servingState whether new requests are accepted, not null
     */
    OperatorPages(
            InstanceSettings ownInstance,
            Metrics metrics,
            DaemonComponents components,
            InFlightRequests inFlight,
            Supplier<ServingState> servingState) {
        this.ownInstance = Objects.requireNonNull(ownInstance, "ownInstance");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.components = Objects.requireNonNull(components, "components");
        this.inFlight = Objects.requireNonNull(inFlight, "inFlight");
        this.servingState = Objects.requireNonNull(servingState, "servingState");
    }

    /**
     * Returns the pages by path or path prefix.
     *
     * @return the map from path to page
     */
    Map<String, OperatorPage> byPath() {
        ControlEndpoint endpoint = new ControlEndpoint(components.control());
        QuarantineEndpoint quarantine =
                new QuarantineEndpoint(components.peers().suspectRegistry(), SegmentQuarantine.NONE);
        OperatorPage quarantinePage = call -> completedAnswer(toAnswer(
                quarantine.handle(call.method(), call.path(), call.body().toUtf8())));
        return Map.of(
                "/metrics",
                _call -> completedAnswer(metricsPage()),
                "/healthz",
                _call -> completedAnswer(OperatorAnswer.text(OK, "ok")),
                "/readyz",
                _call -> completedAnswer(readyPage()),
                "/status",
                _call -> completedAnswer(OperatorAnswer.json(status())),
                QuarantineEndpoint.LIST_PATH,
                quarantinePage,
                QuarantineEndpoint.LIFT_PATH,
                quarantinePage,
                QuarantineEndpoint.SEGMENTS_PATH,
                quarantinePage,
                QuarantineEndpoint.LIFT_SEGMENT_PATH,
                quarantinePage,
                ControlEndpoint.PATH_PREFIX,
                call -> endpoint.handle(call.method(), call.path(), call.body().toUtf8())
                        .thenApply(OperatorPages::toAnswer));
    }

    private static OperatorAnswer toAnswer(QuarantineEndpoint.Response answer) {
        return new OperatorAnswer(answer.status(), "application/json", Bytes.ofUtf8(answer.body()));
    }

    private static CompletionStage<OperatorAnswer> completedAnswer(OperatorAnswer answer) {
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
        String reason = notReadyReason();
        return reason.isEmpty() ? OperatorAnswer.text(OK, "ready") : OperatorAnswer.text(UNAVAILABLE, reason);
    }

    private String notReadyReason() {
        if (servingState.get() != ServingState.SERVING) {
            return "stopping";
        }
        if (components.control().catalogue().current().isEmpty()) {
            return "no catalogue yet";
        }
        return components.directory().hasInstanceList() ? "" : "no instance list yet";
    }

    private InstanceStatus status() {
        ControlStatus controlStatus = components.control().status();
        List<TargetStatus> targets = components.fleetView().targetSummaries().stream()
                .map(this::targetStatus)
                .toList();
        List<PeerStatus> peers = components.directory().latestInstances().stream()
                .filter(listed -> listed.kind() == ListedInstance.Kind.ENTRY)
                .filter(listed -> !listed.name().equals(ownInstance.name()))
                .map(listed -> new PeerStatus(
                        listed.name(),
                        listed.dataCentre(),
                        components.peers().lastSeenTracker().millisSinceLastSeen(listed.name())))
                .toList();
        return new InstanceStatus(
                ownInstance.name(),
                ownInstance.dataCentre(),
                notReadyReason().isEmpty(),
                servingState.get() != ServingState.SERVING,
                controlStatus.catalogueRevision(),
                controlStatus.coveredOffset() + 1,
                !controlStatus.logOut(),
                inFlight.count(),
                targets,
                peers,
                components.control().leasedGroups());
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
                components.enginePoller().reportAgeMillis(target.name()));
    }
}
