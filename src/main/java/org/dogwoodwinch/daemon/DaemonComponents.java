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

/** Creates, connects, starts and stops the components of a daemon, except the listeners for callers and operators. */
final class DaemonComponents {

    private static final int MAX_PLATFORM_RESPONSE_BYTES = 16 << 20;
    private static final int MAX_CLAIM_KEYS = 200_000;
    private static final long LOAD_PUBLISH_INTERVAL_MILLIS = 500;
    private static final int CATALOGUE_PUBLISHERS = 3;

    private final HttpClients httpClients;
    private final TargetDirectory directory;
    private final ControlNode control;
    private final FleetView fleetView;
    private final PeerLoadExchange loadExchange;
    private final LimitShareExchange limitShareExchange;
    private final EnginePoller enginePoller;
    private final LogClaimStore claimStore;
    private final PeerComponents peers;
    private final ReportedTargetActivity reportedActivity;
    private final DrainReportExchange drainExchange;
    private final RequestHandler requestHandler;

    /**
     * Creates the components. None of them runs until {@link #start()} is called.
     *
     * @param settings the daemon's settings, not null
     * @param context the clock, event loops and random generators of the process, not null
     * @param metrics the daemon's metrics, not null
     * @throws IOException if the file with the peer secret or a TLS file cannot be read
     */
    DaemonComponents(Settings settings, DaemonContext context, Metrics metrics) throws IOException {
        Objects.requireNonNull(settings, "settings");
        PlatformSettings platform = settings.platform();
        this.httpClients = new HttpClients(
                context.eventLoopGroup(), (int) settings.targets().connectTimeoutMillis());
        HttpCaller caller = httpClients.pooledCaller(MAX_PLATFORM_RESPONSE_BYTES);
        this.directory = new TargetDirectory(
                new HttpInstanceList(caller, platform.instanceListUrl()),
                context.time(),
                platform.instanceListPollMillis());
        TargetClientFactory targetClients =
                new HttpTargetClientFactory(httpClients, context.time(), ComponentSettings.targetTimeouts(settings));
        this.peers = new PeerComponents(settings, context, directory, metrics);
        PeerBus peerBus = peers.bus();
        String ownName = settings.instance().name();
        LogService logService = new HttpLogService(caller, platform.logUrl());
        this.control = new ControlNode(
                ControlSettings.of(ownName, platform.logRetentionMillis()),
                new ControlServices(
                        logService,
                        new HttpWeightStore(caller, platform.weightStoreUrl()),
                        peerBus,
                        () -> directory.isAmongFirstInstances(ownName, CATALOGUE_PUBLISHERS),
                        targetClients,
                        new InstanceListInventory(
                                directory,
                                new ClaimPriority.Candidate(
                                        ownName, settings.instance().dataCentre())),
                        this::mostRequestsInFlight),
                ComponentSettings.controlPolicies(settings.leases()),
                context.time(),
                context.newRandom());
        CatalogueView catalogue = control.catalogue();
        catalogue.addListener(changed -> metrics.showCatalogueRevision(changed.revision()));
        long incarnation = context.time().wallMillis();
        this.fleetView = new FleetView(context.time());
        directory.addListener(fleetView::onInstanceList);
        LoadAwareRouter router = new LoadAwareRouter(
                fleetView,
                RoutingPolicy.STANDARD,
                context.time(),
                context.newRandom(),
                settings.instance().dataCentre());
        this.loadExchange =
                new PeerLoadExchange(fleetView, peerBus, context.time(), incarnation, LOAD_PUBLISH_INTERVAL_MILLIS);
        this.limitShareExchange = new LimitShareExchange(
                ComponentSettings.limitShareSettings(settings.admission()), peerBus, context.time(), incarnation);
        this.enginePoller = new EnginePoller(
                directory::latestInstances,
                this::unavailableTargets,
                targetClients,
                fleetView,
                router,
                context.time(),
                settings.targets().loadPollMillis());
        this.reportedActivity =
                new ReportedTargetActivity(fleetView, enginePoller, directory, peers.lastSeenTracker(), ownName);
        DrainAwareRouter drainAwareRouter = new DrainAwareRouter(
                new LeavingTargetReportingRouter(router, peers.leavingTargets()::onRefused),
                control::outOfServiceTargets);
        this.drainExchange = new DrainReportExchange(
                peerBus,
                drainAwareRouter::inFlight,
                control::outOfServiceTargets,
                () -> directory.otherInstanceNames(ownName),
                context.time());
        this.claimStore = new LogClaimStore(
                logService,
                context.time(),
                peers.gossipExchange().incarnationId(),
                settings.requests().claimTimeoutMillis(),
                settings.requests().claimBatchMillis(),
                new ClaimIndex(settings.requests().keyMemoryMillis(), MAX_CLAIM_KEYS),
                peers.gossipExchange()::isAlive);
        this.requestHandler = new RequestCoordinator(
                new QueueingAdmissionController(
                        ComponentSettings.admissionPolicy(settings.admission()),
                        catalogue,
                        limitShareExchange,
                        new FleetCapacityEstimator(fleetView, RoutingPolicy.STANDARD, context.time()),
                        directory::activeInstanceCount,
                        context.time()),
                drainAwareRouter,
                targetClients,
                directory::find,
                entry -> modelName(catalogue, entry),
                context.time(),
                context.newRandom(),
                claimStore,
                peers.suspectRegistry(),
                new RequestReport(metrics),
                ComponentSettings.requestSettings(settings),
                RequestPolicies.STANDARD);
    }

    /** Starts all components; they begin to read the platform's services and to exchange messages with peers. */
    void start() {
        directory.start();
        control.start();
        drainExchange.start();
        peers.start();
        claimStore.start();
        loadExchange.start();
        limitShareExchange.start();
        enginePoller.start();
    }

    /** Releases the leases that this instance holds. All components keep running. */
    void releaseLeases() {
        control.releaseLeases();
    }

    /** Stops all components and closes the connections to targets, which aborts requests in flight. */
    void stop() {
        enginePoller.stop();
        directory.stop();
        claimStore.stop();
        peers.stop();
        drainExchange.stop();
        control.stop();
        httpClients.close();
    }

    /**
     * Returns the port on which the other instances connect.
     *
     * @return the port, zero before {@link #start()}
     */
    int peersPort() {
        return peers.port();
    }

    /**
     * Returns the interface to the control stream.
     *
     * @return the catalogue, plans and leases as known to this instance
     */
    ControlApi control() {
        return control;
    }

    /**
     * Returns the directory of instances and targets.
     *
     * @return the directory, which polls the platform's instance list
     */
    TargetDirectory directory() {
        return directory;
    }

    /**
     * Returns the components that exchange messages with the other instances.
     *
     * @return the peer components
     */
    PeerComponents peers() {
        return peers;
    }

    /**
     * Returns the poller of the engines' load reports and states.
     *
     * @return the poller
     */
    EnginePoller enginePoller() {
        return enginePoller;
    }

    /**
     * Returns the router's view of the load and state of all targets.
     *
     * @return the view
     */
    FleetView fleetView() {
        return fleetView;
    }

    /**
     * Returns the handler of callers' requests.
     *
     * @return the handler, which admits, sends, retries and completes requests
     */
    RequestHandler requestHandler() {
        return requestHandler;
    }

    /**
     * Combines load reports with drain reports. Both give the requests in flight; only a drain report confirms that its
     * sender has read from the log that the target is out of service. Failure: an instance that is cut off from the log
     * but still connected to its peers would otherwise keep sending to the target after the drain seemed complete.
     */
    private TargetActivity.RequestsInFlight mostRequestsInFlight(String target) {
        TargetActivity.RequestsInFlight fromLoadReports = reportedActivity.requestsInFlight(target);
        TargetActivity.RequestsInFlight fromDrainReports = drainExchange.requestsInFlight(target);
        return new TargetActivity.RequestsInFlight(
                fromLoadReports.complete() && fromDrainReports.complete(),
                Math.max(fromLoadReports.urgentCount(), fromDrainReports.urgentCount()),
                Math.max(fromLoadReports.totalCount(), fromDrainReports.totalCount()));
    }

    private Set<String> unavailableTargets() {
        return Sets.union(control.outOfServiceTargets(), peers.leavingTargets().names());
    }

    private static String modelName(CatalogueView catalogue, CatalogueEntry entry) {
        Optional<TargetGroup> group = catalogue.current().flatMap(current -> current.group(entry.group()));
        return group.map(TargetGroup::model).orElse("");
    }
}
