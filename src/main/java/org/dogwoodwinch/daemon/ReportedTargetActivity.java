package org.dogwoodwinch.daemon;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.authority.TargetActivity;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.routing.FleetView;
import org.dogwoodwinch.target.LoadReport;

/**
 * Derives the requests in flight on a target from load reports: urgent requests from the reports that the instances
 * exchange, the total from the engine's own report.
 *
 * <p>If an instance that may have sent requests has not been seen recently, or the engine's report is too old, the
 * result is incomplete and the target counts as busy. An order that is sent to a busy target could abort an urgent
 * request such as a booking.
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
     * Creates a source of target activity.
     *
     * @param fleetView provides whether a target has urgent requests in flight, not null
     * @param enginePoller provides the engines' load reports, not null
     * @param directory provides the list of instances, not null
     * @param lastSeenTracker provides when each instance was last seen, not null
     * @param ownName this instance's name, not null
     */
    ReportedTargetActivity(
            FleetView fleetView,
            EnginePoller enginePoller,
            TargetDirectory directory,
            PeerLastSeenTracker lastSeenTracker,
            String ownName) {
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
