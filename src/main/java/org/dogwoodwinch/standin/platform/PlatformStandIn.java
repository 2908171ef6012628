package org.dogwoodwinch.standin.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.time.TimeSource;

/** A whole small platform on loopback: the store, two prefill engines, three that generate, two plain targets. */
public final class PlatformStandIn implements AutoCloseable {

    /** The owner of all calls. */
    public static final String OWNER = "owner-1";

    /** The key of the owner. */
    public static final String KEY = "stand-in-key-1";

    /** The host that the routes are for. */
    public static final String HOST = "demo.example";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String ENGINES = "reader";
    private static final String PLAIN = "desk";

    /** How long a crashed target is away. */
    private static final long RESTART_MILLIS = 1_000;

    /** How long the entry of a crashed target stays, which renews it no more. */
    private static final long ENTRY_LAPSES_MILLIS = 3_000;

    private final Transport transport;
    private final TimeSource time;
    private final StoreStandIn store;
    private final List<StandInListener> listeners = new CopyOnWriteArrayList<>();
    private final List<TargetStandIn> targets = new CopyOnWriteArrayList<>();
    private final Set<String> crashingParts = new ConcurrentSkipListSet<>();
    private final AtomicInteger crashesCount = new AtomicInteger();
    private final StandInListener storeListener;

    /**
     * Starts it, with a first configuration in force.
     *
     * @param transport its sockets, with one event loop, not null
     * @param time paces it, not null
     * @param faults what targets do wrong with a request, not null
     * @throws IOException if no port can be bound
     */
    public PlatformStandIn(Transport transport, TimeSource time, Function<StandInRequest, TargetFault> faults)
            throws IOException {
        this.transport = Objects.requireNonNull(transport, "transport");
        this.time = Objects.requireNonNull(time, "time");
        this.store = new StoreStandIn(time);
        this.storeListener = StandInListener.bind(transport, store);
        for (int i = 1; i <= 5; i++) {
            TargetTraits traits = i <= 2 ? TargetTraits.PREFILL : TargetTraits.DECODE;
            add("i-e" + i, ENGINES, traits, TargetStandIn.FIRST_VERSION, faults);
        }
        add("i-p1", PLAIN, TargetTraits.PLAIN, TargetStandIn.FIRST_VERSION, faults);
        add("i-p2", PLAIN, TargetTraits.PLAIN, TargetStandIn.FIRST_VERSION, faults);
        configure(1);
    }

    /**
     * Returns where the store is.
     *
     * @return IP number, colon, port
     */
    public String storeAddress() {
        return storeListener.address();
    }

    /**
     * Returns the store.
     *
     * @return the store; touched on its event loop alone
     */
    public StoreStandIn store() {
        return store;
    }

    /**
     * Returns the targets.
     *
     * @return all that were started
     */
    public List<TargetStandIn> targets() {
        return List.copyOf(targets);
    }

    /**
     * Writes a configuration: routes for requests that may repeat, that run once, streams, and streams that resume, and
     * one owner with one key.
     *
     * @param version its version
     */
    public void configure(long version) {
        configure(version, List.of(KEY));
    }

    /**
     * Writes a configuration whose only owner has other keys.
     *
     * @param version its version
     * @param keys the keys of the owner, not null; all others are revoked
     */
    public void configure(long version, List<String> keys) {
        configure(version, keys, JSON.createObjectNode());
    }

    /**
     * Writes a configuration in which the number of engines may change.
     *
     * @param version its version
     * @param maxCount the highest number of engines in a data centre
     */
    public void configureScaling(long version, int maxCount) {
        ObjectNode service = JSON.createObjectNode();
        ObjectNode scaling = service.putObject("scaling").put("min", 1).put("max", maxCount);
        scaling.put("bootS", 0.1).put("spotPrice", 0.2).putObject("zonePrices").put("dc-1", 1);
        configure(version, List.of(KEY), service);
    }

    private void configure(long version, List<String> keys, ObjectNode engineService) {
        ObjectNode configuration = JSON.createObjectNode().put("version", version);
        ArrayNode routes = configuration.putArray("routes");
        route(routes, "/safe/", "safe", PLAIN, 2, false);
        route(routes, "/once/", "unsafe", PLAIN, 1, false);
        route(routes, "/stream/", "streaming", ENGINES, 1, false);
        route(routes, "/resume/", "streaming", ENGINES, 2, true);
        ArrayNode services = configuration.putArray("services");
        services.addObject().put("name", PLAIN).put("maxConnections", 960);
        services.add(engineService);
        ObjectNode engine =
                engineService.put("name", ENGINES).put("maxConnections", 3_600).putObject("engine");
        engine.put("slots", 64).put("kvCapacity", 400_000).put("kvTokenBytes", 18_432);
        engine.put("linkMbps", 370_000).put("handleTtlS", 5);
        configuration
                .putObject("limits")
                .put("maxHeaderBytes", 16_384)
                .put("maxBodyBytes", 4_194_304)
                .put("headerTimeoutMs", 3_000)
                .put("idleTimeoutMs", 15_000);
        ArrayNode ownerKeys =
                configuration.putArray("tenants").addObject().put("name", OWNER).putArray("apiKeys");
        keys.forEach(ownerKeys::add);
        store.put("keyed.op", "config", text(configuration));
    }

    private static void route(
            ArrayNode routes, String prefix, String kind, String service, int attempts, boolean resumable) {
        routes.addObject()
                .put("name", "r" + prefix.replace("/", "-"))
                .put("host", HOST)
                .put("pathPrefix", prefix)
                .put("kind", kind)
                .put("timeoutMs", 10_000)
                .put("targetLatencyMs", 500)
                .put("priority", 1)
                .put("service", service)
                .put("maxAttempts", attempts)
                .put("resumable", resumable);
    }

    /**
     * Starts an engine that generates, beside the others.
     *
     * @param id its id, not null
     * @param softwareVersion the version of its software, not null
     * @param faults what it does wrong with a request, not null
     * @throws IOException if no port can be bound
     */
    public void addEngine(String id, String softwareVersion, Function<StandInRequest, TargetFault> faults)
            throws IOException {
        add(id, ENGINES, TargetTraits.DECODE, softwareVersion, faults);
    }

    /**
     * Starts an engine or a plain target that sends some of its answers a second time, beside the others.
     *
     * @param id its id, not null
     * @param traits how it works; without a stage for a plain target, not null
     * @param faults what it does wrong with a request, not null
     * @param stutter which answers it sends a second time, not null
     * @throws IOException if no port can be bound
     */
    public void addStuttering(
            String id, TargetTraits traits, Function<StandInRequest, TargetFault> faults, Stutter stutter)
            throws IOException {
        String service = traits.stage().isEmpty() ? PLAIN : ENGINES;
        bind(new Start(id, service, traits, TargetStandIn.FIRST_VERSION, faults, Optional.of(stutter)));
    }

    /**
     * Lets each engine crash that begins to write an answer to a prompt with this part before its last one. It is back
     * a second later, as another start.
     *
     * @param part the id of the part, not null
     */
    public void crashOn(String part) {
        crashingParts.add(Objects.requireNonNull(part, "part"));
    }

    /**
     * Returns how many targets have crashed.
     *
     * @return the crashes since the platform started
     */
    public int crashesCount() {
        return crashesCount.get();
    }

    private void add(
            String id,
            String service,
            TargetTraits traits,
            String softwareVersion,
            Function<StandInRequest, TargetFault> faults)
            throws IOException {
        bind(new Start(id, service, traits, softwareVersion, faults, Optional.empty()));
    }

    private void bind(Start start) throws IOException {
        start.listenAt(StandInListener.bindEach(transport, start::newConnection));
    }

    /** One start of a target, which another start follows when it crashes. */
    private final class Start {
        private final String service;
        private final TargetTraits traits;
        private final String softwareVersion;
        private final Function<StandInRequest, TargetFault> faults;
        private final Optional<Stutter> stutter;
        private final TargetStandIn target;
        private StandInListener listener;

        Start(
                String id,
                String service,
                TargetTraits traits,
                String softwareVersion,
                Function<StandInRequest, TargetFault> faults,
                Optional<Stutter> stutter) {
            this.service = service;
            this.traits = traits;
            this.softwareVersion = softwareVersion;
            this.faults = faults;
            this.stutter = stutter;
            this.target =
                    new TargetStandIn(id, traits, softwareVersion, time, faults, crashingParts::contains, this::crash);
        }

        StandInHandler newConnection() {
            return stutter.<StandInHandler>map(plan -> new StutteringConnection(target, plan, time))
                    .orElse(target);
        }

        void listenAt(StandInListener bound) {
            listener = bound;
            targets.add(target);
            listeners.add(bound);
            register(target, service, traits, bound.address(), softwareVersion);
        }

        private void crash() {
            int number = crashesCount.incrementAndGet();
            listener.crash();
            time.schedule(ENTRY_LAPSES_MILLIS, () -> store.put("keyed.servers", target.id(), ""));
            Start next = new Start(target.id() + "-" + number, service, traits, softwareVersion, faults, stutter);
            time.schedule(
                    RESTART_MILLIS, () -> StandInListener.bindLater(transport, next::newConnection, next::listenAt));
        }
    }

    private void register(
            TargetStandIn target, String service, TargetTraits traits, String address, String softwareVersion) {
        ObjectNode entry = JSON.createObjectNode()
                .put("service", service)
                .put("address", address)
                .put("zone", "dc-1")
                .put("version", softwareVersion)
                .put("slots", traits.slotsCount())
                .put("state", "ready");
        if (!traits.stage().isEmpty()) {
            entry.put("stage", traits.stage());
        }
        store.put("keyed.servers", target.id(), text(entry));
    }

    private static String text(ObjectNode node) {
        try {
            return JSON.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree cannot fail to be written", e);
        }
    }

    @Override
    public void close() {
        listeners.forEach(StandInListener::close);
        storeListener.close();
    }
}
