package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.CallerLimits;
import org.dogwoodwinch.forwarding.CrashingSegments;
import org.dogwoodwinch.forwarding.EngineChooser;
import org.dogwoodwinch.forwarding.EngineCostModel;
import org.dogwoodwinch.forwarding.EngineTraits;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.KvCacheIndex;
import org.dogwoodwinch.forwarding.LeastLoadedChooser;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.OwnerKeys;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.RateLimitShares;
import org.dogwoodwinch.forwarding.RetryBudget;
import org.dogwoodwinch.forwarding.RetryPolicy;
import org.dogwoodwinch.forwarding.RouteKind;
import org.dogwoodwinch.forwarding.RouteTable;
import org.dogwoodwinch.forwarding.ServiceEntry;
import org.dogwoodwinch.forwarding.ServiceRoute;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.StreamId;
import org.dogwoodwinch.forwarding.StreamStallCost;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.forwarding.TargetPerformance;
import org.dogwoodwinch.forwarding.TargetRateLimits;
import org.dogwoodwinch.forwarding.TargetRests;
import org.dogwoodwinch.forwarding.TargetStanding;
import org.dogwoodwinch.forwarding.WeightedService;
import org.dogwoodwinch.platform.PlatformHeaders;
import org.dogwoodwinch.queueing.RoomEstimator;
import org.dogwoodwinch.request.SuspectRegistry;
import org.dogwoodwinch.time.VirtualTimeSource;

/** Runs calls from caller to target over in-memory channels and a virtual clock. */
final class RelayFixture {

    static final String HOST = "desk.example";
    static final CallerLimits CALLER_LIMITS = new CallerLimits(2_048, 10_000, 3_000, 15_000);
    static final long CALL_TIMEOUT_MILLIS = 800;
    static final long STREAM_TIMEOUT_MILLIS = 6_000;
    static final long RETRY_AFTER_MILLIS = 200;
    static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    final VirtualTimeSource time;
    final TargetHealth health;
    final RateLimitShares rateLimitShares;
    final TargetRateLimits rateLimits;
    final TargetRests rests;
    final TargetDirectory directory;
    final LoadTracker loads = new LoadTracker();
    final KvCacheIndex cacheIndex = new KvCacheIndex();
    final List<FakeTargetConnection> targetConnections = new ArrayList<>();
    final Set<String> unreachableTargetIds = new HashSet<>();
    /** Targets that answer no attempt to connect. */
    final Set<String> silentTargetIds = new HashSet<>();

    final TargetPerformance performance = new TargetPerformance(this::targetsCount);
    final StreamStallCost stallCost = new StreamStallCost(this::streamRoutes);
    final List<String> releasedCaches = new ArrayList<>();
    /** Targets whose connections open only in {@link #completeDelayedConnects}. */
    final Set<String> delayedTargetIds = new HashSet<>();

    /** The owners of calls that began to run, in the order of their starts. */
    final List<String> startedOwners = new ArrayList<>();

    /** The keys of the configuration that {@link #withRoutes} applies. */
    Optional<OwnerKeys> ownerKeys = Optional.empty();

    /** Whether requests to targets fail to be written as on a connection that the target has reset. */
    boolean failingWrites;

    private final List<Runnable> delayedConnects = new ArrayList<>();
    /** The begins of streams, which a test may replace. */
    StreamOrigins streamOriginsDelegate = new LocalStreamOrigins();

    /** The links to the other instances of a test. */
    final NeighbourLinks neighbourLinks = new NeighbourLinks();

    final SuspectRegistry suspects;

    /** The segments that are held back. */
    final SegmentGuard segmentGuard;

    /** Limits the retries of this instance; its ratio is zero unless a test sets it. */
    final RetryBudget budget;

    final ForwardingService service;
    int sharingInstancesCount = 1;
    private long nextOffset;
    private long nextVersion = 1;

    RelayFixture() {
        this(50);
    }

    RelayFixture(double slackShare) {
        this(slackShare, new VirtualTimeSource(1_000_000), "i0", Set.of("i0"));
    }

    RelayFixture(double slackShare, VirtualTimeSource time, String instanceId, Set<String> instanceIds) {
        this(slackShare, time, instanceId, instanceIds, new SegmentLinks());
    }

    RelayFixture(
            double slackShare,
            VirtualTimeSource time,
            String instanceId,
            Set<String> instanceIds,
            SegmentLinks segmentLinks) {
        this.time = time;
        this.health = new TargetHealth(time::monotonicMillis);
        this.rateLimitShares = new RateLimitShares(instanceId, () -> Optional.of(instanceIds), time::monotonicMillis);
        this.rateLimits = new TargetRateLimits(time::monotonicMillis, rateLimitShares);
        this.rests =
                new TargetRests(time::monotonicMillis, RandomSource.XO_RO_SHI_RO_128_PP.create(instanceId.hashCode()));
        this.directory = new TargetDirectory(health, rateLimits, rests);
        this.suspects = new SuspectRegistry(time, 600_000, 600_000, _notice -> {});
        ForwardingMetrics metrics = new ForwardingMetrics(new PrometheusRegistry());
        this.segmentGuard = new SegmentGuard(
                new CrashingSegments(time::monotonicMillis),
                segmentLinks.newsOf(instanceId),
                segmentLinks,
                instanceId,
                () -> instanceIds.size(),
                metrics,
                time);
        segmentLinks.add(instanceId, segmentGuard);
        this.budget = new RetryBudget(0, () -> slackShare, 10_000, -10_000);
        PrefillRates rates = new PrefillRates(30);
        Function<Incarnation, TargetStanding> standings =
                target -> performance.standing(target, time.monotonicMillis());
        EngineChooser chooser = new EngineChooser(
                directory,
                loads,
                cacheIndex,
                rates,
                EngineCostModel.DEFAULT,
                stallCost,
                standings,
                new LeastLoadedChooser(directory, loads, RandomSource.XO_RO_SHI_RO_128_PP.create(7), standings),
                "dc-1");
        service = new ForwardingService(
                this::connect,
                time,
                new PlatformHeaders(),
                RandomSource.XO_RO_SHI_RO_128_PP.create(8),
                new ConnectionPolicy(CONNECT_TIMEOUT_MILLIS, 3_000, 1_000),
                new FakeEngineControl(),
                new RelayDecisions(
                        directory::all,
                        chooser,
                        loads,
                        cacheIndex,
                        rates,
                        performance,
                        stallCost,
                        new RetryPolicy(2, 2, 30, RETRY_AFTER_MILLIS),
                        budget,
                        suspects,
                        segmentGuard,
                        health,
                        rateLimits,
                        rests,
                        new LocalRateLimitRecorder(rateLimits),
                        new LocalStatementRecorder(directory, rests, this::removeIdleConnections),
                        new LocalConnectionFailureRecorder(health),
                        (owner, _startedWallMillis) -> startedOwners.add(owner),
                        new StreamOrigins() {
                            @Override
                            public void recordBegin(
                                    StreamId stream, String softwareVersion, OptionalLong callerMillis) {
                                streamOriginsDelegate.recordBegin(stream, softwareVersion, callerMillis);
                            }

                            @Override
                            public void find(StreamTakeUp takeUp, Consumer<StreamOrigin> onFound) {
                                streamOriginsDelegate.find(takeUp, onFound);
                            }
                        },
                        new TargetEntriesAge(() -> 0, 2_000, 1_800),
                        new RoomEstimator(directory, loads, rates, RoomEstimator.UPDATE_HORIZON_MILLIS),
                        () -> sharingInstancesCount),
                neighbourLinks.asNeighbours(),
                metrics);
    }

    /**
     * Configures the routes /safe/, /once/, /stream/, /resume/ and /open/ to one plain service, and /model/ to the
     * engines. Only /open/ needs no key. Each call applies a newer version.
     */
    RelayFixture withRoutes() {
        service.routes()
                .configure(new RouteTable(
                        nextVersion++,
                        List.of(
                                route("/safe/", RouteKind.REPEATABLE, false, 2, "desk", CALL_TIMEOUT_MILLIS),
                                route("/once/", RouteKind.ONCE, false, 1, "desk", CALL_TIMEOUT_MILLIS),
                                route("/stream/", RouteKind.STREAM, false, 1, "desk", STREAM_TIMEOUT_MILLIS),
                                route("/resume/", RouteKind.STREAM, true, 2, "desk", STREAM_TIMEOUT_MILLIS),
                                publicRoute("/open/", "desk"),
                                route("/model/", RouteKind.STREAM, false, 1, "reader", STREAM_TIMEOUT_MILLIS)),
                        List.of(
                                new ServiceEntry("desk", 96, Optional.empty()),
                                new ServiceEntry(
                                        "reader",
                                        360,
                                        Optional.of(new EngineTraits(64, 400_000, 18_000, 370_000, 5_000, 3_000)))),
                        CALLER_LIMITS,
                        ownerKeys));
        return this;
    }

    RelayFixture withPlainTarget(String id) {
        return withTarget(new Incarnation(id, "desk", "10.0.0.1", 80, "dc-1", 6, false, Stage.WHOLE, 0));
    }

    RelayFixture withEngine(String id, Stage stage) {
        return withTarget(new Incarnation(id, "reader", "10.0.0.2", 80, "dc-1", 64, false, stage, 1));
    }

    RelayFixture withTarget(Incarnation incarnation) {
        directory.apply(incarnation.id(), nextOffset++, Optional.of(incarnation));
        return this;
    }

    /** Applies the removal of a target as the reader of the target list does. */
    RelayFixture removeTarget(String id) {
        directory.apply(id, nextOffset++, Optional.empty());
        service.removeTarget(id);
        service.handleTargetLost(id);
        return this;
    }

    /** Applies the draining of a target as the reader of the target list does. */
    RelayFixture markDraining(String id) {
        Incarnation old = directory.find(id).orElseThrow();
        replaceIncarnation(old, old.host(), true, old.startedMillis());
        service.removeTarget(id);
        return this;
    }

    /** Applies the restart of a target at another address as the reader of the target list does. */
    RelayFixture restartTarget(String id) {
        Incarnation old = directory.find(id).orElseThrow();
        replaceIncarnation(old, "10.0.9.9", false, old.startedMillis() + 1_000);
        service.handleTargetRestart(id);
        return this;
    }

    private void replaceIncarnation(Incarnation old, String host, boolean draining, long startedMillis) {
        withTarget(new Incarnation(
                old.id(),
                old.service(),
                host,
                old.port(),
                old.dataCentre(),
                old.slotsCount(),
                draining,
                old.stage(),
                old.weightVersion(),
                startedMillis));
    }

    private void removeIdleConnections(String targetId) {
        service.removeTarget(targetId);
    }

    /** Opens the delayed connections. */
    void completeDelayedConnects() {
        List<Runnable> connects = List.copyOf(delayedConnects);
        delayedConnects.clear();
        delayedTargetIds.clear();
        connects.forEach(Runnable::run);
    }

    private int targetsCount(String serviceName) {
        return directory.readyTargets(serviceName).size();
    }

    private List<ServiceRoute> streamRoutes(String serviceName) {
        return service.routes().streamRoutes(serviceName);
    }

    private static ServiceRoute route(
            String prefix, RouteKind kind, boolean resumable, int attempts, String service, long timeoutMillis) {
        return new ServiceRoute(
                "r" + prefix.replace("/", "-"),
                HOST,
                prefix,
                kind,
                resumable,
                timeoutMillis,
                150,
                300,
                attempts,
                1,
                false,
                List.of(new WeightedService(service, 1)));
    }

    private static ServiceRoute publicRoute(String prefix, String service) {
        return new ServiceRoute(
                "r" + prefix.replace("/", "-"),
                HOST,
                prefix,
                RouteKind.ONCE,
                false,
                CALL_TIMEOUT_MILLIS,
                150,
                0,
                1,
                1,
                true,
                List.of(new WeightedService(service, 1)));
    }

    FakeCaller connectCaller() {
        return new FakeCaller();
    }

    /** Returns the target's end of the connection that was opened last. */
    FakeTargetConnection latestTargetConnection() {
        return targetConnections.get(targetConnections.size() - 1);
    }

    /** Returns a request without a body. */
    static String getRequest(String path, String id) {
        return "GET " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id + "\r\n\r\n";
    }

    static String postRequest(String path, String id, String headers, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id + "\r\n" + headers
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns a complete success response of a target. */
    static String successResponse(String id, String body) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s-" + id + "\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    /** Returns the head of a streamed success response. */
    static String streamResponseHead(String id) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s-" + id
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private void connect(Incarnation target, ChannelHandler handler, TargetConnector.Outcome outcome) {
        if (unreachableTargetIds.contains(target.id())) {
            outcome.failed();
            return;
        }
        if (silentTargetIds.contains(target.id())) {
            time.schedule(CONNECT_TIMEOUT_MILLIS, outcome::failed);
            return;
        }
        Runnable openConnection = () -> {
            EmbeddedChannel channel =
                    failingWrites ? new EmbeddedChannel(new FailingWrites(), handler) : new EmbeddedChannel(handler);
            targetConnections.add(new FakeTargetConnection(target.id(), channel));
            outcome.connected();
        };
        if (delayedTargetIds.contains(target.id())) {
            delayedConnects.add(openConnection);
        } else {
            openConnection.run();
        }
    }

    private static String readOutbound(EmbeddedChannel channel) {
        StringBuilder text = new StringBuilder();
        ByteBuf next = channel.readOutbound();
        while (next != null) {
            text.append(next.toString(StandardCharsets.ISO_8859_1));
            next.release();
            next = channel.readOutbound();
        }
        return text.toString();
    }

    private static ByteBuf toBuffer(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    /** The caller's end of a connection. */
    final class FakeCaller {

        private final EmbeddedChannel channel = new EmbeddedChannel(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel added) {
                CallerPipeline.install(added, service, time);
            }
        });

        FakeCaller send(String text) {
            channel.writeInbound(toBuffer(text));
            return this;
        }

        /** Returns the bytes received since the previous call. */
        String takeReceived() {
            channel.runPendingTasks();
            return readOutbound(channel);
        }

        /** Returns whether the connection is closed after one second, enough for a lingering close. */
        boolean isClosedAfterOneSecond() {
            channel.runPendingTasks();
            time.advanceMillis(1_000);
            return !channel.isActive();
        }

        boolean isClosed() {
            channel.runPendingTasks();
            return !channel.isActive();
        }

        void disconnect() {
            channel.close().syncUninterruptibly();
        }
    }

    private static final class FailingWrites extends ChannelOutboundHandlerAdapter {
        @Override
        public void write(ChannelHandlerContext _context, Object message, ChannelPromise promise) {
            ReferenceCountUtil.release(message);
            promise.setFailure(new IOException("Broken pipe"));
        }
    }

    /** The target's end of a connection. */
    static final class FakeTargetConnection {

        private final String targetId;
        private final EmbeddedChannel channel;

        FakeTargetConnection(String id, EmbeddedChannel channel) {
            this.targetId = id;
            this.channel = channel;
        }

        String targetId() {
            return targetId;
        }

        /** Returns the bytes received since the previous call. */
        String takeReceived() {
            channel.runPendingTasks();
            return readOutbound(channel);
        }

        void respond(String text) {
            channel.writeInbound(toBuffer(text));
            channel.runPendingTasks();
        }

        void close() {
            channel.close().syncUninterruptibly();
        }

        void reset() {
            fail("Connection reset by peer");
        }

        void timeOut() {
            fail("Connection timed out");
        }

        private void fail(String message) {
            channel.pipeline().fireExceptionCaught(new IOException(message));
            channel.close().syncUninterruptibly();
        }

        boolean isOpen() {
            channel.runPendingTasks();
            return channel.isActive();
        }
    }

    private final class FakeEngineControl extends UnresponsiveEngineControl {
        @Override
        public Optional<KvCacheHandle> parseCacheHandle(Incarnation prefillEngine, Bytes body) {
            String handle = new String(body.toByteArray(), StandardCharsets.UTF_8);
            return handle.isEmpty()
                    ? Optional.empty()
                    : Optional.of(new KvCacheHandle(prefillEngine.address(), handle));
        }

        @Override
        public void releaseCache(Incarnation prefillEngine, KvCacheHandle kvCache) {
            releasedCaches.add(prefillEngine.id() + "/" + kvCache.handle());
        }
    }
}
