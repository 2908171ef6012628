package org.dogwoodwinch.daemon;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.admission.Admission;
import org.dogwoodwinch.authority.TargetActivity;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.catalogue.CatalogueView;
import org.dogwoodwinch.catalogue.TargetGroup;
import org.dogwoodwinch.control.ControlApi;
import org.dogwoodwinch.control.ControlNode;
import org.dogwoodwinch.control.ControlPolicies;
import org.dogwoodwinch.control.ControlServices;
import org.dogwoodwinch.control.ControlSettings;
import org.dogwoodwinch.metrics.Metrics;
import org.dogwoodwinch.peer.PeerBoard;
import org.dogwoodwinch.platform.http.HttpInstanceList;
import org.dogwoodwinch.platform.http.HttpLogService;
import org.dogwoodwinch.platform.http.HttpWeightStore;
import org.dogwoodwinch.request.Quarantine;
import org.dogwoodwinch.request.RequestCoordinator;
import org.dogwoodwinch.request.RequestHandler;
import org.dogwoodwinch.request.RequestPolicies;
import org.dogwoodwinch.request.RequestSettings;
import org.dogwoodwinch.request.UnreachableClaims;
import org.dogwoodwinch.routing.Router;
import org.dogwoodwinch.settings.PlatformSettings;
import org.dogwoodwinch.settings.Settings;
import org.dogwoodwinch.target.TargetClients;
import org.dogwoodwinch.target.http.HttpCaller;
import org.dogwoodwinch.target.http.HttpClients;
import org.dogwoodwinch.target.http.HttpTargetClients;
import org.dogwoodwinch.target.http.TargetTimeouts;

/** Builds the parts of a daemon behind its listeners and connects them. */
final class DaemonParts {

    private static final int MAX_PLATFORM_ANSWER_BYTES = 16 << 20;

    private final HttpClients clients;
    private final TargetDirectory directory;
    private final ControlNode control;
    private final RequestHandler handler;

    /**
     * Builds the parts; nothing runs yet.
     *
     * @param settings the daemon's settings, not null
     * @param context what the process gives, not null
     * @param metrics counts, not null
     */
    DaemonParts(Settings settings, DaemonContext context, Metrics metrics) {
        Objects.requireNonNull(settings, "settings");
        PlatformSettings platform = settings.platform();
        this.clients = new HttpClients(context.group(), (int) settings.targets().connectTimeoutMillis());
        HttpCaller caller = clients.pooledCaller(MAX_PLATFORM_ANSWER_BYTES);
        this.directory = new TargetDirectory(
                new HttpInstanceList(caller, platform.instanceListUrl()),
                context.time(),
                platform.instanceListPollMillis());
        TargetClients targets = new HttpTargetClients(clients, context.time(), TargetTimeouts.STANDARD);
        PeerBoard board = new SilentBoard();
        String name = settings.instance().name();
        this.control = new ControlNode(
                ControlSettings.of(name, platform.logRetentionMillis()),
                new ControlServices(
                        new HttpLogService(caller, platform.logUrl()),
                        new HttpWeightStore(caller, platform.weightStoreUrl()),
                        board,
                        () -> false,
                        targets,
                        new ListedFleet(directory, name),
                        _target -> new TargetActivity.InFlight(false, 0, 0)),
                ControlPolicies.STANDARD,
                context.time(),
                context.newRandom());
        CatalogueView catalogue = control.catalogue();
        catalogue.onChange(changed -> metrics.showCatalogueRevision(changed.revision()));
        Admission admission = new OpenAdmission();
        Router router = new LeastSentRouter(directory);
        this.handler = new RequestCoordinator(
                admission,
                router,
                targets,
                directory::find,
                entry -> modelOf(catalogue, entry),
                context.time(),
                context.newRandom(),
                new UnreachableClaims(),
                Quarantine.NONE,
                new RequestReport(metrics),
                RequestSettings.DEFAULT,
                RequestPolicies.STANDARD);
    }

    /** Begins to read the platform's services. */
    void start() {
        directory.start();
        control.start();
    }

    /** Gives the leases back; everything else goes on. */
    void release() {
        control.release();
    }

    /** Stops everything; what is in flight is cut. */
    void stop() {
        directory.stop();
        control.stop();
        clients.close();
    }

    /**
     * Returns where the other instances connect.
     *
     * @return the port; zero where this instance does not listen for them
     */
    int peersPort() {
        return 0;
    }

    /**
     * Returns the control stream.
     *
     * @return this instance's part in it
     */
    ControlApi control() {
        return control;
    }

    /**
     * Returns what knows the targets.
     *
     * @return the directory
     */
    TargetDirectory directory() {
        return directory;
    }

    /**
     * Returns what sees requests through.
     *
     * @return the handler
     */
    RequestHandler handler() {
        return handler;
    }

    private static String modelOf(CatalogueView catalogue, CatalogueEntry entry) {
        Optional<TargetGroup> group = catalogue.current().flatMap(current -> current.group(entry.group()));
        return group.map(TargetGroup::model).orElse("");
    }
}
