package org.dogwoodwinch.daemon;

import io.netty.channel.Channel;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.follow.FollowerPolicy;
import org.dogwoodwinch.follow.ReplicatedStream;
import org.dogwoodwinch.follow.StreamFollower;
import org.dogwoodwinch.forwarding.CrashingSegments;
import org.dogwoodwinch.forwarding.EngineChooser;
import org.dogwoodwinch.forwarding.EngineCostModel;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.KvCacheIndex;
import org.dogwoodwinch.forwarding.LeastLoadedChooser;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.Neighbour;
import org.dogwoodwinch.forwarding.OrderLease;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.RateLimitShares;
import org.dogwoodwinch.forwarding.RetryBudget;
import org.dogwoodwinch.forwarding.RetryPolicy;
import org.dogwoodwinch.forwarding.ServiceRoute;
import org.dogwoodwinch.forwarding.StagePlanPolicy;
import org.dogwoodwinch.forwarding.StagePlanner;
import org.dogwoodwinch.forwarding.StreamStallCost;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.forwarding.TargetPerformance;
import org.dogwoodwinch.forwarding.TargetRateLimits;
import org.dogwoodwinch.forwarding.TargetRests;
import org.dogwoodwinch.forwarding.TargetStanding;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.net.Addresses;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.peer.MemberList;
import org.dogwoodwinch.peer.PeerMember;
import org.dogwoodwinch.platform.DutyClient;
import org.dogwoodwinch.platform.EngineClient;
import org.dogwoodwinch.platform.PlatformHeaders;
import org.dogwoodwinch.platform.StoreClient;
import org.dogwoodwinch.queueing.RoomEstimator;
import org.dogwoodwinch.relay.CacheWatch;
import org.dogwoodwinch.relay.CallStarts;
import org.dogwoodwinch.relay.ConnectionPolicy;
import org.dogwoodwinch.relay.ControlClient;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.dogwoodwinch.relay.ForwardingService;
import org.dogwoodwinch.relay.InstancePages;
import org.dogwoodwinch.relay.NeighbourConnector;
import org.dogwoodwinch.relay.Neighbours;
import org.dogwoodwinch.relay.RelayDecisions;
import org.dogwoodwinch.relay.SegmentGuard;
import org.dogwoodwinch.relay.TakenOverCalls;
import org.dogwoodwinch.relay.TargetConnector;
import org.dogwoodwinch.relay.TargetEntriesAge;
import org.dogwoodwinch.relay.TcpTargetConnector;
import org.dogwoodwinch.request.QuarantineEndpoint;
import org.dogwoodwinch.scaling.ScalePlanner;
import org.dogwoodwinch.scaling.ScaleStrategy;
import org.dogwoodwinch.settings.ForwardingSettings;
import org.dogwoodwinch.settings.SettingsChange;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An instance that forwards calls according to the operator's routes. Constructs and connects its components, and stops
 * without interrupting requests.
 */
public final class ForwardingDaemon {

    private static final Logger log = LoggerFactory.getLogger(ForwardingDaemon.class);

    /**
     * Failed connection attempts after which a caller is asked to retry later: another attempt is as likely to fail.
     */
    private static final int MAX_FAILED_CONNECTS = 2;

    /** An attempt with less time left than a round trip and a short run would be wasted. */
    private static final long MIN_REMAINING_MILLIS = 30;

    /** Rejections by targets after which a caller is asked to retry later: further targets are as likely to be full. */
    private static final int MAX_REJECTIONS = 2;

    /** Prefill rate assumed until calls have been observed: that of engines with today's large models. */
    private static final double INITIAL_TOKENS_PER_MILLI = 30;

    private static final long ENGINE_TIMEOUT_MILLIS = 1_000;

    /** Long enough to avoid frequent polls of the engine, short enough to detect a silent connection. */
    private static final long ENGINE_LONG_POLL_MILLIS = 1_000;

    private static final long SETTINGS_CHECK_INTERVAL_MILLIS = 1_000;

    private static final long CLOCK_CHECK_INTERVAL_MILLIS = 500;

    /** Well above the clock drift and the timer delay between two checks. */
    private static final long CLOCK_JUMP_THRESHOLD_MILLIS = 700;

    private static final long CACHE_WATCH_INTERVAL_MILLIS = 250;

    /** Well above the round trip of a record to the store; the order is sent within the same period again. */
    private static final long ORDER_VALIDITY_MILLIS = 1_000;

    /** The time that an order may take to arrive, and the same again for clock differences and network delay. */
    private static final long ORDER_SEPARATION_MARGIN_MILLIS = 2_000;

    private final Transport transport;
    private final TimeSource time;
    private final ForwardingMetrics metrics = new ForwardingMetrics(new PrometheusRegistry());
    private final TargetDirectory directory;
    private final ForwardingService service;
    private final StreamFollower configuration;
    private final StreamFollower targets;
    private final TargetsReader targetsReader;
    private final CacheWatch cacheWatch;
    private final StageOrders stageOrders;
    private final EnginesAway enginesAway;
    private final FleetExchange fleet;
    private final ClockWatch clockWatch;
    private final Optional<UsageComponents> usage;
    private final Optional<ScaleComponents> scaling;
    private final RetryBudget budget;
    private final SegmentGuard segments;
    private final SegmentStore segmentStore;
    private final StreamComponents streams;
    private ForwardingSettings settings;
    private Channel readyListener;
    private Channel metricsListener;
    private boolean stopping;

    /**
     * Creates a daemon that does not listen yet.
     *
     * @param settings the settings, not null
     * @param transport the sockets, with a single event loop, not null
     * @param random the source of randomness, not null
     */
    public ForwardingDaemon(ForwardingSettings settings, Transport transport, UniformRandomProvider random) {
        this(settings, transport, random, UnaryOperator.identity());
    }

    /**
     * Creates a daemon whose connections to targets are opened in another way.
     *
     * @param settings the settings, not null
     * @param transport the sockets, with a single event loop, not null
     * @param random the source of randomness, not null
     * @param targetLinks replaces the connector of targets, not null
     */
    ForwardingDaemon(
            ForwardingSettings settings,
            Transport transport,
            UniformRandomProvider random,
            UnaryOperator<TargetConnector> targetLinks) {
        this(settings, transport, random, targetLinks, ScalePlanner::new);
    }

    /**
     * Creates a daemon whose connections to targets are opened, and whose engines are planned, in another way.
     *
     * @param settings the settings, not null
     * @param transport the sockets, with a single event loop, not null
     * @param random the source of randomness, not null
     * @param targetLinks replaces the connector of targets, not null
     * @param strategyFactory creates the strategy by which the engines of a service are planned, from their prefill
     *     rates, not null
     */
    ForwardingDaemon(
            ForwardingSettings settings,
            Transport transport,
            UniformRandomProvider random,
            UnaryOperator<TargetConnector> targetLinks,
            Function<PrefillRates, ScaleStrategy> strategyFactory) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.time = new EventLoopTime(transport.eventLoopGroup().next());
        ConnectionPolicy connections = new ConnectionPolicy(
                settings.forwarding().connectTimeoutMillis(),
                settings.forwarding().unacknowledgedMillis(),
                settings.forwarding().idleMarginMillis());
        TargetHealth health = new TargetHealth(time::monotonicMillis);
        LoadTracker loads = new LoadTracker();
        KvCacheIndex cacheIndex = new KvCacheIndex();
        PrefillRates rates = new PrefillRates(INITIAL_TOKENS_PER_MILLI);
        StreamStallCost stallCost = new StreamStallCost(this::streamRoutes);
        ControlClient caller =
                new ControlClient(transport, transport.eventLoopGroup().next(), time, connections);
        StoreClient store = new StoreClient(
                caller,
                Addresses.parse(settings.store().address()),
                settings.store().timeoutMillis(),
                (topic, operation) -> metrics.storeCalled(topic, operation.label()));
        StorePolling polling = new StorePolling(settings);
        FollowerPolicy followerPolicy = polling.follower();
        this.fleet = new FleetExchange(
                settings,
                transport,
                time,
                random,
                store.keyed(MemberList.TOPIC),
                store.writer(MemberList.TOPIC),
                followerPolicy,
                loads,
                metrics);
        store.eras().onNewEra(this::beginEra);
        RateLimitShares limitShares =
                new RateLimitShares(settings.instance().name(), fleet::assignmentMembers, time::monotonicMillis);
        TargetRateLimits limits = new TargetRateLimits(time::monotonicMillis, limitShares);
        TargetRests rests = new TargetRests(time::monotonicMillis, random);
        this.directory = new TargetDirectory(health, limits, rests);
        BrokenTargets brokenTargets =
                new BrokenTargets(settings.instance().name(), fleet.exchange(), health, this::startedMillis, random);
        brokenTargets.start();
        LimitSharing limitSharing = new LimitSharing(fleet.exchange(), limits, limitShares, this::startedMillis, time);
        limitSharing.start();
        IsolationSharing isolationSharing = new IsolationSharing(
                settings.instance().name(), fleet.exchange(), time, brokenTargets::forgetStatementsOf);
        isolationSharing.start();
        TargetPerformance performance =
                new TargetPerformance(service -> directory.readyTargets(service).size());
        Function<Incarnation, TargetStanding> standings =
                target -> performance.standing(target, time.monotonicMillis());
        new PerformanceSharing(
                        performance,
                        fleet.exchange(),
                        this::activeTargets,
                        directory::find,
                        fleet::maxInstanceCount,
                        metrics,
                        time)
                .start();
        TargetStatementRecorder statements =
                new TargetStatementRecorder(fleet.exchange(), directory, rests, metrics, this::closeIdleConnections);
        statements.start();
        EngineClient engines = new EngineClient(caller, statements, ENGINE_TIMEOUT_MILLIS, ENGINE_LONG_POLL_MILLIS);
        fleet.exchange().beforeEachRound(() -> metrics.setRateLimitedTargets(limits.limitedCount()));
        this.budget = new RetryBudget(
                settings.retries().ratio(),
                () -> fleet.ownShareOf(this.settings.retries().slackCount()),
                settings.retries().windowMillis(),
                time.monotonicMillis());
        this.usage = settings.duties()
                .filter(duties -> duties.isAssigned(DutyClient.USAGE_DUTY))
                .map(duties -> new UsageComponents(
                        settings.instance().name(),
                        duties,
                        settings.promises().holdersApartMillis(),
                        () -> fleet.exchange().isFleetTaskAssignedToSelf(UsageReporter.TOPIC),
                        caller,
                        store,
                        time));
        ReplicatedStream targetEntries = fleet.streams()
                .share(
                        StoreClient.TARGETS_TOPIC,
                        store.keyed(StoreClient.TARGETS_TOPIC),
                        polling.targetsReplica(),
                        TargetsReader::targetOf);
        TargetEntriesAge entriesAge = polling.targetEntriesAge(targetEntries::deliveredAgeMillis);
        this.streams = new StreamComponents(
                settings.instance().name(),
                fleet.exchange(),
                this::otherNames,
                directory::softwareVersions,
                this::longestResumableMillis,
                entriesAge::isOld,
                metrics::streamBeginsTold,
                random,
                time);
        SegmentSharing segmentSharing = new SegmentSharing(fleet.exchange());
        this.segmentStore = new SegmentStore(
                store.keyed(SegmentStore.TOPIC),
                key -> store.keyedLog(SegmentStore.TOPIC, key),
                store.writer(SegmentStore.TOPIC),
                time);
        this.segments = new SegmentGuard(
                new CrashingSegments(time::monotonicMillis),
                segmentSharing,
                segmentStore,
                settings.instance().name(),
                fleet::maxInstanceCount,
                metrics,
                time);
        segmentSharing.start(segments);
        this.service = new ForwardingService(
                targetLinks.apply(new TcpTargetConnector(transport, connections)),
                time,
                new PlatformHeaders(),
                random,
                connections,
                engines,
                new RelayDecisions(
                        this::activeTargets,
                        new EngineChooser(
                                directory,
                                loads,
                                cacheIndex,
                                rates,
                                EngineCostModel.DEFAULT,
                                stallCost,
                                standings,
                                new LeastLoadedChooser(directory, loads, random, standings),
                                settings.instance().dataCentre()),
                        loads,
                        cacheIndex,
                        rates,
                        performance,
                        stallCost,
                        new RetryPolicy(
                                MAX_FAILED_CONNECTS,
                                MAX_REJECTIONS,
                                MIN_REMAINING_MILLIS,
                                settings.retries().retryAfterMillis()),
                        budget,
                        fleet.quarantine(),
                        segments,
                        health,
                        limits,
                        rests,
                        limitSharing,
                        statements,
                        brokenTargets,
                        usage.map(UsageComponents::callStarts).orElse(CallStarts.NONE),
                        streams.origins(),
                        entriesAge,
                        new RoomEstimator(directory, loads, rates, RoomEstimator.UPDATE_HORIZON_MILLIS),
                        fleet::connectionSharerCount),
                new Neighbours(
                        new NeighbourConnector(transport, time),
                        settings.instance().dataCentre(),
                        fleet::neighbours,
                        isolationSharing::isolatedNames,
                        isolationSharing::set),
                metrics);
        streams.start(service.routes()::modelServices);
        fleet.acceptCalls(new TakenOverCalls(service, time)::accept);
        this.configuration = new StreamFollower(
                fleet.streams()
                        .share(
                                StoreClient.OPERATOR_TOPIC,
                                store.keyed(StoreClient.OPERATOR_TOPIC),
                                polling.configurationReplica()),
                followerPolicy,
                new ConfigurationReader(service.routes()::configure, metrics, streams::onRoutesMoved),
                time,
                random);
        this.clockWatch =
                new ClockWatch(time, CLOCK_CHECK_INTERVAL_MILLIS, CLOCK_JUMP_THRESHOLD_MILLIS, this::onClockJump);
        this.cacheWatch = new CacheWatch(
                engines,
                cacheIndex,
                this::activeModelEngines,
                engineId -> fleet.exchange().isAssignedToSelf(engineId),
                new KeptSharing(fleet.exchange(), cacheIndex, this::startedMillis, time),
                time,
                CACHE_WATCH_INTERVAL_MILLIS);
        this.enginesAway = new EnginesAway(fleet.exchange(), health, this::startedMillis);
        this.stageOrders = new StageOrders(
                new StageOrders.Dependencies(
                        settings.instance().name(),
                        directory,
                        loads,
                        service.routes()::modelServices,
                        service.routes()::stageChangeMillis,
                        _service -> new StagePlanner(StagePlanPolicy.DEFAULT, rates),
                        fleet.exchange()::isRelay,
                        () -> fleet.exchange().isFleetTaskAssignedToSelf(StageOrders.TOPIC),
                        store.log(StageOrders.TOPIC),
                        engines,
                        enginesAway::publish),
                new OrderLease(
                        ORDER_VALIDITY_MILLIS,
                        settings.promises().holdersApartMillis() + ORDER_SEPARATION_MARGIN_MILLIS),
                time);
        this.targetsReader =
                new TargetsReader(directory, service, metrics, time, targetEntries::lastReading, polling.removalHold());
        this.targets = new StreamFollower(
                targetEntries,
                followerPolicy,
                new SnapshotGapListener(targetsReader, streams::beginAnew),
                time,
                random);
        this.scaling = settings.duties()
                .filter(duties -> duties.isAssigned(DutyClient.AUTOSCALE_DUTY))
                .map(_duties -> new ScaleComponents(
                        settings,
                        () -> fleet.exchange().isFleetTaskAssignedToSelf(ScaleOrders.TOPIC),
                        new ScaleOrders.Observed(
                                service.routes()::scaledServices,
                                targetsReader::hasReadSnapshot,
                                directory::readyTargets,
                                directory::all,
                                loads::totalAt),
                        () -> strategyFactory.apply(rates),
                        caller,
                        store,
                        metrics,
                        time));
    }

    /**
     * Opens the listeners and starts to read the store.
     *
     * @throws IOException if a listener cannot be bound
     */
    public void start() throws IOException {
        readyListener = InstancePages.listenReady(
                transport, parseAddress(settings.forwarding().readyListen()), this::isReady);
        metricsListener = InstancePages.listenMetrics(
                transport,
                parseAddress(settings.forwarding().metricsListen()),
                metrics,
                new QuarantineEndpoint(fleet.quarantine(), new GuardedSegments(segments)));
        service.listen(transport, parseAddress(settings.forwarding().listen()));
        PeerMember self = fleet.listen(parseAddress(settings.peers().listen()));
        transport.eventLoopGroup().next().execute(() -> {
            configuration.start();
            targets.start();
            segmentStore.start(segments::onRecord);
            cacheWatch.start();
            enginesAway.start();
            service.startIsolationWatch();
            stageOrders.start();
            fleet.start(self);
            clockWatch.start();
            usage.ifPresent(UsageComponents::start);
            scaling.ifPresent(ScaleComponents::start);
        });
        LogEvent.of("started")
                .with("instance", settings.instance().name())
                .with("dataCentre", settings.instance().dataCentre())
                .with("transport", transport.name())
                .with("port", service.port())
                .with("readyPort", readyPort())
                .info(log);
    }

    private void onClockJump() {
        service.closeIdleConnections();
        fleet.exchange().onSuspension();
        streams.beginAnew();
    }

    /**
     * Returns the port that callers connect to.
     *
     * @return the port
     */
    public int port() {
        return service.port();
    }

    /**
     * Returns the port at which the load balancer checks the readiness of the instance.
     *
     * @return the port
     */
    public int readyPort() {
        return ((InetSocketAddress) readyListener.localAddress()).getPort();
    }

    /**
     * Returns the port at which the metrics are served.
     *
     * @return the port
     */
    public int metricsPort() {
        return ((InetSocketAddress) metricsListener.localAddress()).getPort();
    }

    /**
     * Reloads the settings whenever their file changes, and on SIGHUP.
     *
     * @param file the settings file, not null
     */
    public void watchSettings(Path file) {
        SettingsWatch watch = new SettingsWatch(file, time, SETTINGS_CHECK_INTERVAL_MILLIS, this::reload);
        transport.eventLoopGroup().next().execute(watch::start);
        Signals.setHandler("HUP", () -> transport.eventLoopGroup().next().execute(watch::reloadIfChanged));
    }

    /**
     * Applies the changed settings that do not require a restart, and logs those that do. Runs on the event loop.
     *
     * @param newSettings the settings as read again, not null
     */
    public void reload(ForwardingSettings newSettings) {
        transport.eventLoopGroup().next().execute(() -> {
            SettingsChange change = SettingsChange.between(settings, newSettings);
            settings = change.inForce();
            budget.setRatio(settings.retries().ratio());
            LogEvent.of("settings_reloaded")
                    .with("changed", String.join(",", change.taken()))
                    .with("needRestart", String.join(",", change.needRestart()))
                    .info(log);
        });
    }

    /**
     * Stops gracefully: reports not ready first, then lets the calls in progress finish.
     *
     * @return completes with the number of calls that did not finish within the grace period
     */
    public CompletionStage<Integer> stop() {
        GracefulStop graceful = new GracefulStop(service, () -> settings.stop(), this::flushUsage, time);
        transport.eventLoopGroup().next().execute(() -> {
            stopping = true;
            graceful.start();
            fleet.leave();
        });
        return graceful.stopped();
    }

    private List<Incarnation> activeTargets() {
        return directory.all().stream().filter(target -> !target.draining()).toList();
    }

    private List<Incarnation> activeModelEngines() {
        return activeTargets().stream()
                .filter(target -> service.routes().servesModel(target.service()))
                .toList();
    }

    private void beginEra(long era) {
        metrics.setStoreEra(era);
        fleet.beginEra(era);
        segmentStore.beginEra();
        usage.ifPresent(UsageComponents::beginEra);
        scaling.ifPresent(ScaleComponents::beginEra);
    }

    private void closeIdleConnections(String targetId) {
        service.removeTarget(targetId);
    }

    private List<String> otherNames() {
        return fleet.neighbours().stream().map(Neighbour::name).toList();
    }

    private long startedMillis(String targetId) {
        return directory.find(targetId).map(Incarnation::startedMillis).orElse(0L);
    }

    private List<ServiceRoute> streamRoutes(String serviceName) {
        return service.routes().streamRoutes(serviceName);
    }

    private long longestResumableMillis() {
        return service.routes().longestResumableMillis();
    }

    private boolean isReady() {
        return !stopping && service.routes().isConfigured() && targetsReader.hasReadSnapshot();
    }

    private CompletionStage<Boolean> flushUsage() {
        return usage.map(UsageComponents::flush).orElseGet(() -> CompletableFuture.completedFuture(true));
    }

    private static InetSocketAddress parseAddress(String text) {
        return Addresses.parse(text);
    }
}
