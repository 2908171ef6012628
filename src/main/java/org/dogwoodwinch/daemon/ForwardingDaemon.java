package org.dogwoodwinch.daemon;

import io.netty.channel.Channel;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.follow.FollowerPolicy;
import org.dogwoodwinch.follow.ReplicaPolicy;
import org.dogwoodwinch.follow.StreamFollower;
import org.dogwoodwinch.forwarding.EngineChooser;
import org.dogwoodwinch.forwarding.EngineCostModel;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.KvCacheIndex;
import org.dogwoodwinch.forwarding.LeastLoadedChooser;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.OrderLease;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.RateLimitShares;
import org.dogwoodwinch.forwarding.RetryBudget;
import org.dogwoodwinch.forwarding.RetryPolicy;
import org.dogwoodwinch.forwarding.StagePlanPolicy;
import org.dogwoodwinch.forwarding.StagePlanner;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.forwarding.TargetRateLimits;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.net.Addresses;
import org.dogwoodwinch.net.EventLoopTime;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.peer.MemberList;
import org.dogwoodwinch.peer.PeerMember;
import org.dogwoodwinch.platform.EngineClient;
import org.dogwoodwinch.platform.PlatformHeaders;
import org.dogwoodwinch.platform.StoreClient;
import org.dogwoodwinch.relay.CacheWatch;
import org.dogwoodwinch.relay.ConnectionPolicy;
import org.dogwoodwinch.relay.ControlCaller;
import org.dogwoodwinch.relay.ForwardingMetrics;
import org.dogwoodwinch.relay.ForwardingService;
import org.dogwoodwinch.relay.SocketConnector;
import org.dogwoodwinch.settings.ForwardingSettings;
import org.dogwoodwinch.settings.SettingsChange;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One instance that forwards calls by the operator's routes: wires the parts and stops without cutting a request. */
public final class ForwardingDaemon {

    private static final Logger log = LoggerFactory.getLogger(ForwardingDaemon.class);
    private static final long DRAIN_CHECK_MILLIS = 20;

    /** Before the platform ends the process by force, what could not finish is closed in order. */
    private static final long BEFORE_GRACE_MILLIS = 500;

    /** Tries for a connection after which a caller is told to come back: a further one is as likely to fail. */
    private static final int MAX_FAILED_CONNECTS = 2;

    /** A send with less time than a round trip and a short run is an attempt for nothing. */
    private static final long LEAST_REMAINING_MILLIS = 30;

    /** Targets that refused a call before its caller is told to come back: more are as likely to be full. */
    private static final int MAX_REJECTIONS = 2;

    /** Assumed until calls were observed: what engines of today's large models read in a millisecond. */
    private static final double FIRST_TOKENS_PER_MILLI = 30;

    private static final long ENGINE_TIMEOUT_MILLIS = 1_000;

    /** Long enough to be no poll for the engine, short enough that a silent connection is noticed. */
    private static final long ENGINE_WAIT_MILLIS = 1_000;

    private static final long SETTINGS_CHECK_MILLIS = 1_000;

    private static final long CLOCK_CHECK_MILLIS = 500;

    /** Well over what clocks drift and timers are late between two checks. */
    private static final long CLOCK_JUMP_MILLIS = 700;

    private static final long CACHE_ROUND_MILLIS = 250;

    /** Well over a record's way to the store and back; an order is on its way within as long again. */
    private static final long ORDER_VALID_MILLIS = 1_000;

    /** The time that an order may take to arrive, and as much again for clocks and links. */
    private static final long ORDER_MARGIN_MILLIS = 2_000;

    /** The way of a reading to a platform that is slow, and of a word, on busy instances. */
    private static final long TOLD_MARGIN_MILLIS = 400;

    /** A reading's way there and back, so that the next one's word comes before the one after it begins. */
    private static final long READERS_WAIT_MILLIS = 75;

    private static final int MOST_READERS_WAITS = 3;

    private static final long FIRST_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 500;

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
    private final RetryBudget budget;
    private ForwardingSettings settings;
    private Channel readyListener;
    private boolean leaving;
    private long leftAtMillis;

    /**
     * Wires a daemon that does not listen yet.
     *
     * @param settings its settings, not null
     * @param transport its sockets, with one event loop, not null
     * @param random chance, not null
     */
    public ForwardingDaemon(ForwardingSettings settings, Transport transport, UniformRandomProvider random) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.time = new EventLoopTime(transport.group().next());
        ConnectionPolicy connections = new ConnectionPolicy(
                settings.forwarding().connectTimeoutMillis(),
                settings.forwarding().unacknowledgedMillis(),
                settings.forwarding().idleMarginMillis());
        TargetHealth health = new TargetHealth(time::monotonicMillis);
        LoadTracker loads = new LoadTracker();
        KvCacheIndex parts = new KvCacheIndex();
        PrefillRates rates = new PrefillRates(FIRST_TOKENS_PER_MILLI);
        ControlCaller caller = new ControlCaller(transport, transport.group().next(), time, connections);
        EngineClient engines = new EngineClient(caller, ENGINE_TIMEOUT_MILLIS, ENGINE_WAIT_MILLIS);
        StoreClient store = new StoreClient(
                caller,
                Addresses.parse(settings.store().address()),
                settings.store().timeoutMillis());
        FollowerPolicy follow = new FollowerPolicy(
                settings.store().waitMillis(),
                settings.store().pauseMillis(),
                FIRST_BACKOFF_MILLIS,
                MAX_BACKOFF_MILLIS);
        this.fleet = new FleetExchange(
                settings,
                transport,
                time,
                random,
                store.keyed(MemberList.TOPIC),
                store.writer(MemberList.TOPIC),
                follow,
                loads,
                metrics);
        RateLimitShares limitShares =
                new RateLimitShares(settings.instance().name(), fleet::countedOn, time::monotonicMillis);
        TargetRateLimits limits = new TargetRateLimits(time::monotonicMillis, limitShares);
        this.directory = new TargetDirectory(health, limits);
        BrokenTargets brokenTargets =
                new BrokenTargets(settings.instance().name(), fleet.exchange(), health, this::bornMillis, random);
        brokenTargets.start();
        LimitSharing limitSharing = new LimitSharing(fleet.exchange(), limits, limitShares, this::bornMillis, time);
        limitSharing.start();
        fleet.exchange().beforeEachRound(() -> metrics.showLimited(limits.limitedCount()));
        this.budget = new RetryBudget(
                settings.retries().ratio(),
                () -> fleet.shareOf(this.settings.retries().slackCount()),
                settings.retries().windowMillis(),
                time.monotonicMillis());
        this.service = new ForwardingService(
                new SocketConnector(transport, connections),
                time,
                new PlatformHeaders(),
                random,
                connections,
                engines,
                new ForwardingService.Decisions(
                        new EngineChooser(
                                directory,
                                loads,
                                parts,
                                rates,
                                EngineCostModel.DEFAULT,
                                new LeastLoadedChooser(directory, loads, random),
                                settings.instance().dataCentre()),
                        loads,
                        parts,
                        rates,
                        new RetryPolicy(
                                MAX_FAILED_CONNECTS,
                                MAX_REJECTIONS,
                                LEAST_REMAINING_MILLIS,
                                settings.retries().retryAfterMillis()),
                        budget,
                        fleet.quarantine(),
                        health,
                        limits,
                        limitSharing,
                        brokenTargets,
                        fleet::connectionSharersCount),
                metrics);
        this.configuration = new StreamFollower(
                fleet.streams()
                        .share(StoreClient.OPERATOR_TOPIC, store.keyed(StoreClient.OPERATOR_TOPIC), told(settings)),
                follow,
                new ConfigurationReader(service, metrics),
                time,
                random);
        this.clockWatch = new ClockWatch(time, CLOCK_CHECK_MILLIS, CLOCK_JUMP_MILLIS, this::clocksJumped);
        this.cacheWatch = new CacheWatch(
                engines,
                parts,
                this::modelEngines,
                engineId -> fleet.exchange().isAssignedToSelf(engineId),
                new KeptSharing(fleet.exchange(), parts, this::bornMillis, time),
                time,
                CACHE_ROUND_MILLIS);
        this.enginesAway = new EnginesAway(fleet.exchange(), health, this::bornMillis);
        this.stageOrders = new StageOrders(
                new StageOrders.Parts(
                        settings.instance().name(),
                        directory,
                        loads,
                        service::modelServices,
                        service::switchMillis,
                        _service -> new StagePlanner(StagePlanPolicy.DEFAULT, rates),
                        fleet.exchange()::isRelay,
                        () -> fleet.exchange().isFleetTaskAssignedToSelf(StageOrders.TOPIC),
                        store.log(StageOrders.TOPIC),
                        engines,
                        enginesAway::tell),
                new OrderLease(ORDER_VALID_MILLIS, settings.promises().holdersApartMillis() + ORDER_MARGIN_MILLIS),
                time);
        this.targetsReader = new TargetsReader(
                directory, service, metrics, time, settings.promises().drainMillis() * 4 / 5);
        this.targets = new StreamFollower(
                fleet.streams()
                        .share(
                                StoreClient.TARGETS_TOPIC,
                                store.keyed(StoreClient.TARGETS_TOPIC),
                                told(settings),
                                TargetsReader::meaning),
                follow,
                targetsReader,
                time,
                random);
    }

    /**
     * Listens, and begins to read the store.
     *
     * @throws IOException if a listener cannot be bound
     */
    public void start() throws IOException {
        readyListener = ForwardingService.listenReady(
                transport, address(settings.forwarding().readyListen()), this::ready);
        ForwardingService.listenMetrics(transport, address(settings.forwarding().metricsListen()), metrics);
        service.listen(transport, address(settings.forwarding().listen()));
        PeerMember self = fleet.listen(address(settings.peers().listen()));
        transport.group().next().execute(() -> {
            configuration.start();
            targets.start();
            cacheWatch.start();
            enginesAway.start();
            stageOrders.start();
            fleet.start(self);
            clockWatch.start();
        });
        LogEvent.of("started")
                .with("instance", settings.instance().name())
                .with("dataCentre", settings.instance().dataCentre())
                .with("transport", transport.name())
                .with("port", service.port())
                .with("readyPort", readyPort())
                .info(log);
    }

    private void clocksJumped() {
        service.dropKeptConnections();
        fleet.exchange().onSuspension();
    }

    /**
     * Returns where callers connect.
     *
     * @return the port
     */
    public int port() {
        return service.port();
    }

    /**
     * Returns where the balancer asks whether the instance is ready.
     *
     * @return the port
     */
    public int readyPort() {
        return ((InetSocketAddress) readyListener.localAddress()).getPort();
    }

    /**
     * Reloads the settings whenever their file changes, and at the signal to do so.
     *
     * @param file the settings file, not null
     */
    public void watch(Path file) {
        SettingsWatch watch = new SettingsWatch(file, time, SETTINGS_CHECK_MILLIS, this::reload);
        transport.group().next().execute(watch::start);
        Signals.setHandler("HUP", () -> transport.group().next().execute(watch::reloadIfChanged));
    }

    /**
     * Puts changed settings in force as far as that needs no start, and says what does. Runs on the event loop.
     *
     * @param fresh the settings read anew, not null
     */
    public void reload(ForwardingSettings fresh) {
        transport.group().next().execute(() -> {
            SettingsChange change = SettingsChange.between(settings, fresh);
            settings = change.inForce();
            budget.setRatio(settings.retries().ratio());
            LogEvent.of("settings_reloaded")
                    .with("changed", String.join(",", change.taken()))
                    .with("needRestart", String.join(",", change.needRestart()))
                    .info(log);
        });
    }

    /**
     * Stops gracefully: not ready first, then calls under way finish.
     *
     * @return completes with the number of calls that had not finished within the bound
     */
    public CompletionStage<Integer> stop() {
        CompletableFuture<Integer> stopped = new CompletableFuture<>();
        transport.group().next().execute(() -> {
            leaving = true;
            leftAtMillis = time.monotonicMillis();
            service.leave();
            fleet.leave();
            service.logState("leaving");
            waitForCalls(stopped);
        });
        return stopped;
    }

    private List<Incarnation> modelEngines() {
        return directory.all().stream()
                .filter(target -> !target.draining() && service.servesModel(target.service()))
                .toList();
    }

    private long bornMillis(String targetId) {
        return directory.find(targetId).map(Incarnation::startedMillis).orElse(0L);
    }

    private boolean ready() {
        return !leaving && service.configured() && targetsReader.readOnce();
    }

    private void waitForCalls(CompletableFuture<Integer> stopped) {
        long sinceMillis = time.monotonicMillis() - leftAtMillis;
        if (sinceMillis >= settings.stop().notReadyMillis()) {
            service.stopTaking();
            boolean late = sinceMillis >= settings.stop().graceMillis() - BEFORE_GRACE_MILLIS;
            boolean empty = service.openCount() == 0 && service.callersCount() == 0;
            if (late || empty) {
                service.logState("stopped");
                stopped.complete(service.openCount());
                return;
            }
        }
        time.schedule(DRAIN_CHECK_MILLIS, () -> waitForCalls(stopped));
    }

    /** With the longest wait of its turn and a reading it stays under nine tenths of what operators were promised. */
    private static ReplicaPolicy told(ForwardingSettings settings) {
        long longestReadingMillis =
                settings.store().waitMillis() + settings.store().pauseMillis();
        return new ReplicaPolicy(longestReadingMillis + TOLD_MARGIN_MILLIS, READERS_WAIT_MILLIS, MOST_READERS_WAITS);
    }

    private static InetSocketAddress address(String text) {
        return Addresses.parse(text);
    }
}
