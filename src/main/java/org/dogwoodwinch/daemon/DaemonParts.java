package org.dogwoodwinch.daemon;

import com.google.common.collect.Sets;
import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.dogwoodwinch.admission.LimitShareExchange;
import org.dogwoodwinch.admission.QueueingAdmissionController;
import org.dogwoodwinch.authority.ClaimPriority;
import org.dogwoodwinch.authority.TargetActivity;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.catalogue.CatalogueView;
import org.dogwoodwinch.catalogue.TargetGroup;
import org.dogwoodwinch.control.ControlApi;
import org.dogwoodwinch.control.ControlNode;
import org.dogwoodwinch.control.ControlServices;
import org.dogwoodwinch.control.ControlSettings;
import org.dogwoodwinch.control.DrainAwareRouter;
import org.dogwoodwinch.control.DrainReportExchange;
import org.dogwoodwinch.external.LogService;
import org.dogwoodwinch.external.http.HttpInstanceList;
import org.dogwoodwinch.external.http.HttpLogService;
import org.dogwoodwinch.external.http.HttpWeightStore;
import org.dogwoodwinch.metrics.Metrics;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.request.ClaimIndex;
import org.dogwoodwinch.request.LogClaimStore;
import org.dogwoodwinch.request.RequestCoordinator;
import org.dogwoodwinch.request.RequestHandler;
import org.dogwoodwinch.request.RequestPolicies;
import org.dogwoodwinch.routing.FleetCapacityEstimator;
import org.dogwoodwinch.routing.FleetView;
import org.dogwoodwinch.routing.LoadAwareRouter;
import org.dogwoodwinch.routing.PeerLoadExchange;
import org.dogwoodwinch.routing.RoutingPolicy;
import org.dogwoodwinch.settings.PlatformSettings;
import org.dogwoodwinch.settings.Settings;
import org.dogwoodwinch.target.TargetClientFactory;
import org.dogwoodwinch.target.http.HttpCaller;
import org.dogwoodwinch.target.http.HttpClients;
import org.dogwoodwinch.target.http.HttpTargetClientFactory;

/** Builds the parts of a daemon behind its listeners and connects them. */
final class DaemonParts {

    private static final int MAX_PLATFORM_ANSWER_BYTES = 16 << 20;
    private static final int MOST_KEYS = 200_000;
    private static final long LOAD_EXCHANGE_MILLIS = 500;
    private static final int CATALOGUE_PUBLISHERS = 3;

    private final HttpClients clients;
    private final TargetDirectory directory;
    private final ControlNode control;
    private final FleetView fleet;
    private final PeerLoadExchange loads;
    private final LimitShareExchange shares;
    private final EnginePoller poller;
    private final LogClaimStore claims;
    private final PeerParts peers;
    private final FleetActivity activity;
    private final DrainReportExchange drains;
    private final RequestHandler handler;

    /**
     * Builds the parts; nothing runs yet.
     *
     * @param settings the daemon's settings, not null
     * @param context what the process gives, not null
     * @param metrics counts, not null
     * @throws IOException if the peers' secret or a TLS file cannot be read
     */
    DaemonParts(Settings settings, DaemonContext context, Metrics metrics) throws IOException {
        Objects.requireNonNull(settings, "settings");
        PlatformSettings platform = settings.platform();
        this.clients = new HttpClients(context.group(), (int) settings.targets().connectTimeoutMillis());
        HttpCaller caller = clients.pooledCaller(MAX_PLATFORM_ANSWER_BYTES);
        this.directory = new TargetDirectory(
                new HttpInstanceList(caller, platform.instanceListUrl()),
                context.time(),
                platform.instanceListPollMillis());
        TargetClientFactory targets =
                new HttpTargetClientFactory(clients, context.time(), PartSettings.timeouts(settings));
        this.peers = new PeerParts(settings, context, directory, metrics);
        PeerBus board = peers.board();
        String name = settings.instance().name();
        LogService log = new HttpLogService(caller, platform.logUrl());
        this.control = new ControlNode(
                ControlSettings.of(name, platform.logRetentionMillis()),
                new ControlServices(
                        log,
                        new HttpWeightStore(caller, platform.weightStoreUrl()),
                        board,
                        () -> directory.isAmongFirstEntries(name, CATALOGUE_PUBLISHERS),
                        targets,
                        new ListedFleet(
                                directory,
                                new ClaimPriority.Candidate(
                                        name, settings.instance().dataCentre())),
                        this::inFlightOn),
                PartSettings.control(settings.leases()),
                context.time(),
                context.newRandom());
        CatalogueView catalogue = control.catalogue();
        catalogue.addListener(changed -> metrics.showCatalogueRevision(changed.revision()));
        long incarnation = context.time().wallMillis();
        this.fleet = new FleetView(context.time());
        directory.onRead(fleet::onInstanceList);
        LoadAwareRouter router = new LoadAwareRouter(
                fleet,
                RoutingPolicy.STANDARD,
                context.time(),
                context.newRandom(),
                settings.instance().dataCentre());
        this.loads = new PeerLoadExchange(fleet, board, context.time(), incarnation, LOAD_EXCHANGE_MILLIS);
        this.shares =
                new LimitShareExchange(PartSettings.shares(settings.admission()), board, context.time(), incarnation);
        this.poller = new EnginePoller(
                directory::latest,
                this::heldBack,
                targets,
                fleet,
                router,
                context.time(),
                settings.targets().loadPollMillis());
        this.activity = new FleetActivity(fleet, poller, directory, peers.watch(), name);
        DrainAwareRouter sent = new DrainAwareRouter(
                new LeavingTellingRouter(router, peers.leaving()::onRefused), control::outOfServiceTargets);
        this.drains = new DrainReportExchange(
                board,
                sent::inFlight,
                control::outOfServiceTargets,
                () -> directory.otherEntries(name),
                context.time());
        this.claims = new LogClaimStore(
                log,
                context.time(),
                peers.exchange().incarnationId(),
                settings.requests().claimTimeoutMillis(),
                settings.requests().claimBatchMillis(),
                new ClaimIndex(settings.requests().keyMemoryMillis(), MOST_KEYS),
                peers.exchange()::isAlive);
        this.handler = new RequestCoordinator(
                new QueueingAdmissionController(
                        PartSettings.admission(settings.admission()),
                        catalogue,
                        shares,
                        new FleetCapacityEstimator(fleet, RoutingPolicy.STANDARD, context.time()),
                        directory::liveEntries,
                        context.time()),
                sent,
                targets,
                directory::find,
                entry -> modelOf(catalogue, entry),
                context.time(),
                context.newRandom(),
                claims,
                peers.suspects(),
                new RequestReport(metrics),
                PartSettings.requests(settings),
                RequestPolicies.STANDARD);
    }

    /** Begins to read the platform's services. */
    void start() {
        directory.start();
        control.start();
        drains.start();
        peers.start();
        claims.start();
        loads.start();
        shares.start();
        poller.start();
    }

    /** Gives the leases back; everything else goes on. */
    void release() {
        control.releaseLeases();
    }

    /** Stops everything; what is in flight is cut. */
    void stop() {
        poller.stop();
        directory.stop();
        claims.stop();
        peers.stop();
        drains.stop();
        control.stop();
        clients.close();
    }

    /**
     * Returns where the other instances connect.
     *
     * @return the port, zero before the start
     */
    int peersPort() {
        return peers.port();
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
     * Returns what knows the other instances.
     *
     * @return the parts
     */
    PeerParts peers() {
        return peers;
    }

    /**
     * Returns what reads the engines' reports.
     *
     * @return the poller
     */
    EnginePoller poller() {
        return poller;
    }

    /**
     * Returns what is believed of the targets.
     *
     * @return the view
     */
    FleetView fleet() {
        return fleet;
    }

    /**
     * Returns what sees requests through.
     *
     * @return the handler
     */
    RequestHandler handler() {
        return handler;
    }

    /**
     * Load news tell what is in flight; drain reports tell besides that each instance has read that the target is out of
     * service. An instance that peers hear but that is cut off from the log would otherwise go on sending.
     */
    private TargetActivity.RequestsInFlight inFlightOn(String target) {
        TargetActivity.RequestsInFlight load = activity.requestsInFlight(target);
        TargetActivity.RequestsInFlight told = drains.requestsInFlight(target);
        return new TargetActivity.RequestsInFlight(
                load.complete() && told.complete(),
                Math.max(load.urgentCount(), told.urgentCount()),
                Math.max(load.totalCount(), told.totalCount()));
    }

    private Set<String> heldBack() {
        return Sets.union(control.outOfServiceTargets(), peers.leaving().names());
    }

    private static String modelOf(CatalogueView catalogue, CatalogueEntry entry) {
        Optional<TargetGroup> group = catalogue.current().flatMap(current -> current.group(entry.group()));
        return group.map(TargetGroup::model).orElse("");
    }
}
