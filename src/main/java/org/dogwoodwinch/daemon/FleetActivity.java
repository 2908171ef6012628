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
final class FleetActivity implements TargetActivity {

    private static final long FRESH_MILLIS = 5_000;
    private static final RequestsInFlight UNKNOWN = new RequestsInFlight(false, 0, 0);

    private final FleetView fleet;
    private final EnginePoller poller;
    private final TargetDirectory directory;
    private final PeerWatch watch;
    private final String instance;

    /**
     * Creates the answerer.
     *
     * @param fleet knows urgent work, not null
     * @param poller knows the engines' reports, not null
     * @param directory lists the instances, not null
     * @param watch tells when they were heard of, not null
     * @param instance this instance's name, not null
     */
    FleetActivity(FleetView fleet, EnginePoller poller, TargetDirectory directory, PeerWatch watch, String instance) {
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.poller = Objects.requireNonNull(poller, "poller");
        this.directory = Objects.requireNonNull(directory, "directory");
        this.watch = Objects.requireNonNull(watch, "watch");
        this.instance = Objects.requireNonNull(instance, "instance");
    }

    @Override
    public RequestsInFlight requestsInFlight(String target) {
        Optional<LoadReport> report = poller.freshReport(target, FRESH_MILLIS);
        if (report.isEmpty() || !allPeersHeard()) {
            return UNKNOWN;
        }
        int all = report.get().runningRequests() + report.get().waitingRequests();
        int urgent = fleet.hasUrgentRequests(target) ? 1 : 0;
        return new RequestsInFlight(true, urgent, Math.max(urgent, all));
    }

    private boolean allPeersHeard() {
        return directory.latest().stream()
                .filter(line -> line.kind() == ListedInstance.Kind.ENTRY)
                .filter(line -> !line.name().equals(instance))
                .allMatch(line -> {
                    long heardMillis = watch.heardMillis(line.name());
                    return heardMillis >= 0 && heardMillis <= FRESH_MILLIS;
                });
    }
}
