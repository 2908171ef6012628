package org.dogwoodwinch.daemon;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.authority.TargetActivity;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.routing.FleetView;
import org.dogwoodwinch.target.LoadReport;

/**
 * What is in flight on a target: urgent work as all instances tell each other, everything else as the engine reports.
 *
 * <p>Where an instance that may have sent work was not heard of late, or the engine's report is old, nothing is known and
 * the target counts as busy: an order sent then could cut a booking.
 */
final class ReportedTargetActivity implements TargetActivity {

    private static final long MAX_REPORT_AGE_MILLIS = 5_000;
    private static final RequestsInFlight UNKNOWN = new RequestsInFlight(false, 0, 0);

    private final FleetView fleetView;
    private final EnginePoller enginePoller;
    private final TargetDirectory directory;
    private final PeerLastSeenTracker lastSeenTracker;
    private final String ownName;

    /**
     * Creates the answerer.
     *
     * @param fleetView knows urgent work, not null
     * @param enginePoller knows the engines' reports, not null
     * @param directory lists the instances, not null
     * @param lastSeenTracker tells when they were heard of, not null
     * @param ownName this instance's name, not null
     */
    ReportedTargetActivity(FleetView fleetView, EnginePoller enginePoller, TargetDirectory directory, PeerLastSeenTracker lastSeenTracker, String ownName) {
        this.fleetView = Objects.requireNonNull(fleetView, "fleetView");
        this.enginePoller = Objects.requireNonNull(enginePoller, "enginePoller");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.lastSeenTracker = Objects.requireNonNull(lastSeenTracker, "lastSeenTracker");
        this.ownName = Objects.requireNonNull(ownName, "ownName");
    }

    @Override
    public RequestsInFlight requestsInFlight(String target) {
        Optional<LoadReport> report = enginePoller.recentReport(target, MAX_REPORT_AGE_MILLIS);
        if (report.isEmpty() || !haveAllPeersReported()) {
            return UNKNOWN;
        }
        int totalCount = report.get().runningRequests() + report.get().waitingRequests();
        int urgentCount = fleetView.hasUrgentRequests(target) ? 1 : 0;
        return new RequestsInFlight(true, urgentCount, Math.max(urgentCount, totalCount));
    }

    private boolean haveAllPeersReported() {
        return directory.latestInstances().stream()
                .filter(listed -> listed.kind() == ListedInstance.Kind.ENTRY)
                .filter(listed -> !listed.name().equals(ownName))
                .allMatch(listed -> {
                    long lastSeenMillis = lastSeenTracker.millisSinceLastSeen(listed.name());
                    return lastSeenMillis >= 0 && lastSeenMillis <= MAX_REPORT_AGE_MILLIS;
                });
    }
}
