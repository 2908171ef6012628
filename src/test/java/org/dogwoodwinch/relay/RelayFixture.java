package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.CallerLimits;
import org.dogwoodwinch.forwarding.EngineChooser;
import org.dogwoodwinch.forwarding.EngineCostModel;
import org.dogwoodwinch.forwarding.EngineTraits;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.KvCacheIndex;
import org.dogwoodwinch.forwarding.LeastLoadedChooser;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.RateLimitShares;
import org.dogwoodwinch.forwarding.RetryBudget;
import org.dogwoodwinch.forwarding.RetryPolicy;
import org.dogwoodwinch.forwarding.RouteKind;
import org.dogwoodwinch.forwarding.RouteTable;
import org.dogwoodwinch.forwarding.ServiceEntry;
import org.dogwoodwinch.forwarding.ServiceRoute;
import org.dogwoodwinch.forwarding.Stage;
import org.dogwoodwinch.forwarding.TargetDirectory;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.forwarding.TargetRateLimits;
import org.dogwoodwinch.forwarding.WeightedService;
import org.dogwoodwinch.platform.PlatformHeaders;
import org.dogwoodwinch.request.SuspectRegistry;
import org.dogwoodwinch.time.VirtualTimeSource;

/** The whole way of a call between connections made of memory, on a paused clock. */
final class RelayFixture {

    static final String HOST = "desk.example";
    static final CallerLimits LIMITS = new CallerLimits(2_048, 10_000, 3_000, 15_000);
    static final long TIMEOUT_MILLIS = 800;
    static final long STREAM_TIMEOUT_MILLIS = 6_000;
    static final long RETRY_AFTER_MILLIS = 200;

    final VirtualTimeSource time;
    final TargetHealth health;
    final RateLimitShares shares;
    final TargetRateLimits limits;
    final TargetDirectory directory;
    final LoadTracker loads = new LoadTracker();
    final KvCacheIndex parts = new KvCacheIndex();
    final List<TargetEnd> opened = new ArrayList<>();
    final Set<String> unreachable = new HashSet<>();
    final List<String> released = new ArrayList<>();
    /** Connections to these open only when the test lets them. */
    final Set<String> connectingSlowly = new HashSet<>();

    private final List<Runnable> connecting = new ArrayList<>();
    final SuspectRegistry suspects;
    final ForwardingService service;
    int sharersCount = 1;
    private long nextOffset;

    RelayFixture() {
        this(50);
    }

    RelayFixture(double slack) {
        this(slack, new VirtualTimeSource(1_000_000), "i0", Set.of("i0"));
    }

    RelayFixture(double slack, VirtualTimeSource time, String instance, Set<String> instances) {
        this.time = time;
        this.health = new TargetHealth(time::monotonicMillis);
        this.shares = new RateLimitShares(instance, () -> Optional.of(instances), time::monotonicMillis);
        this.limits = new TargetRateLimits(time::monotonicMillis, shares);
        this.directory = new TargetDirectory(health, limits);
        this.suspects = new SuspectRegistry(time, 600_000, 600_000, _notice -> {});
        PrefillRates rates = new PrefillRates(30);
        EngineChooser chooser = new EngineChooser(
                directory,
                loads,
                parts,
                rates,
                EngineCostModel.DEFAULT,
                new LeastLoadedChooser(directory, loads, RandomSource.XO_RO_SHI_RO_128_PP.create(7)),
                "dc-1");
        service = new ForwardingService(
                this::connect,
                time,
                new PlatformHeaders(),
                RandomSource.XO_RO_SHI_RO_128_PP.create(8),
                new ConnectionPolicy(1_000, 3_000, 1_000),
                new Control(),
                new ForwardingService.Decisions(
                        chooser,
                        loads,
                        parts,
                        rates,
                        new RetryPolicy(2, 2, 30, RETRY_AFTER_MILLIS),
                        new RetryBudget(0, () -> slack, 10_000, -10_000),
                        suspects,
                        health,
                        limits,
                        new OwnLimits(limits),
                        new OwnBreakOffs(health),
                        () -> sharersCount),
                new ForwardingMetrics(new PrometheusRegistry()));
    }

    /** Puts routes /safe/, /once/, /stream/ and /resume/ in force, all to one plain service. */
    RelayFixture configured() {
        service.configure(new RouteTable(
                1,
                List.of(
                        route("/safe/", RouteKind.REPEATABLE, false, 2, "desk", TIMEOUT_MILLIS),
                        route("/once/", RouteKind.ONCE, false, 1, "desk", TIMEOUT_MILLIS),
                        route("/stream/", RouteKind.STREAM, false, 1, "desk", STREAM_TIMEOUT_MILLIS),
                        route("/resume/", RouteKind.STREAM, true, 2, "desk", STREAM_TIMEOUT_MILLIS),
                        route("/model/", RouteKind.STREAM, false, 1, "reader", STREAM_TIMEOUT_MILLIS)),
                List.of(
                        new ServiceEntry("desk", 96, Optional.empty()),
                        new ServiceEntry(
                                "reader",
                                360,
                                Optional.of(new EngineTraits(64, 400_000, 18_000, 370_000, 5_000, 3_000)))),
                LIMITS));
        return this;
    }

    RelayFixture plain(String id) {
        return listed(new Incarnation(id, "desk", "10.0.0.1", 80, "dc-1", 6, false, Stage.WHOLE, 0));
    }

    RelayFixture engine(String id, Stage stage) {
        return listed(new Incarnation(id, "reader", "10.0.0.2", 80, "dc-1", 64, false, stage, 1));
    }

    RelayFixture listed(Incarnation incarnation) {
        directory.apply(incarnation.id(), nextOffset++, Optional.of(incarnation));
        return this;
    }

    /** As the reader of the targets' list does when an entry is removed. */
    RelayFixture gone(String id) {
        directory.apply(id, nextOffset++, Optional.empty());
        service.forgetTarget(id);
        service.targetFoundGone(id);
        return this;
    }

    /** As the reader of the targets' list does when a target says that it leaves. */
    RelayFixture leaving(String id) {
        Incarnation old = directory.find(id).orElseThrow();
        relisted(old, old.host(), true, old.startedMillis());
        service.forgetTarget(id);
        return this;
    }

    /** As the reader of the targets' list does when a target has started again, elsewhere. */
    RelayFixture startedAgain(String id) {
        Incarnation old = directory.find(id).orElseThrow();
        relisted(old, "10.0.9.9", false, old.startedMillis() + 1_000);
        service.targetStartedAgain(id);
        return this;
    }

    private void relisted(Incarnation old, String host, boolean leaving, long bornMillis) {
        listed(new Incarnation(
                old.id(),
                old.service(),
                host,
                old.port(),
                old.dataCentre(),
                old.slotsCount(),
                leaving,
                old.stage(),
                old.weightVersion(),
                bornMillis));
    }

    /** The connections that were held back open now. */
    void letConnect() {
        List<Runnable> held = List.copyOf(connecting);
        connecting.clear();
        connectingSlowly.clear();
        held.forEach(Runnable::run);
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
                List.of(new WeightedService(service, 1)));
    }

    CallerEnd caller() {
        return new CallerEnd();
    }

    /** The target's end of the connection opened last. */
    TargetEnd target() {
        return opened.get(opened.size() - 1);
    }

    /** A request without a body. */
    static String get(String path, String id) {
        return "GET " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id + "\r\n\r\n";
    }

    static String post(String path, String id, String headers, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id + "\r\n" + headers
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** A whole success of a target. */
    static String success(String id, String body) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s-" + id + "\r\nContent-Length: "
                + body.length() + "\r\n\r\n" + body;
    }

    /** The head of a streamed success. */
    static String streamHead(String id) {
        return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s-" + id
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private void connect(Incarnation target, ChannelHandler handler, TargetConnector.Outcome outcome) {
        if (unreachable.contains(target.id())) {
            outcome.failed();
            return;
        }
        Runnable open = () -> {
            opened.add(new TargetEnd(target.id(), new EmbeddedChannel(handler)));
            outcome.connected();
        };
        if (connectingSlowly.contains(target.id())) {
            connecting.add(open);
        } else {
            open.run();
        }
    }

    private static String read(EmbeddedChannel channel) {
        StringBuilder text = new StringBuilder();
        ByteBuf next = channel.readOutbound();
        while (next != null) {
            text.append(next.toString(StandardCharsets.ISO_8859_1));
            next.release();
            next = channel.readOutbound();
        }
        return text.toString();
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    }

    /** A caller's end of its connection. */
    final class CallerEnd {

        private final EmbeddedChannel channel = new EmbeddedChannel(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel added) {
                CallerPipeline.install(added, service, time);
            }
        });

        CallerEnd send(String text) {
            channel.writeInbound(bytes(text));
            return this;
        }

        /** What came since the last call. */
        String received() {
            channel.runPendingTasks();
            return read(channel);
        }

        /** Whether no more bytes can come. */
        boolean closed() {
            channel.runPendingTasks();
            time.advanceMillis(1_000);
            return !channel.isActive();
        }

        boolean closedAtOnce() {
            channel.runPendingTasks();
            return !channel.isActive();
        }

        void leave() {
            channel.close().syncUninterruptibly();
        }
    }

    /** A target's end of a connection. */
    static final class TargetEnd {

        private final String id;
        private final EmbeddedChannel channel;

        TargetEnd(String id, EmbeddedChannel channel) {
            this.id = id;
            this.channel = channel;
        }

        String id() {
            return id;
        }

        /** What came since the last call. */
        String received() {
            channel.runPendingTasks();
            return read(channel);
        }

        void answer(String text) {
            channel.writeInbound(bytes(text));
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

        boolean open() {
            channel.runPendingTasks();
            return channel.isActive();
        }
    }

    private final class Control extends SilentEngines {
        @Override
        public Optional<PromptMemory> readMemory(Incarnation reader, Bytes body) {
            String text = new String(body.toByteArray(), StandardCharsets.UTF_8);
            return text.isEmpty() ? Optional.empty() : Optional.of(new PromptMemory(reader.address(), text));
        }

        @Override
        public void release(Incarnation reader, PromptMemory memory) {
            released.add(reader.id() + "/" + memory.handle());
        }
    }
}
