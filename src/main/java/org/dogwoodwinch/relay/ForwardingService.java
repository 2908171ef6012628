package org.dogwoodwinch.relay;

import io.netty.channel.Channel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.forwarding.CallerLimits;
import org.dogwoodwinch.forwarding.EngineTraits;
import org.dogwoodwinch.forwarding.KvCacheIndex;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.PrefillRates;
import org.dogwoodwinch.forwarding.RetryBudget;
import org.dogwoodwinch.forwarding.RetryPolicy;
import org.dogwoodwinch.forwarding.RouteTable;
import org.dogwoodwinch.forwarding.ServiceEntry;
import org.dogwoodwinch.forwarding.ServiceRoute;
import org.dogwoodwinch.forwarding.TargetChooser;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.forwarding.TargetRateLimits;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.request.Quarantine;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Forwards calls by the configuration in force. Used on one event loop alone. */
public final class ForwardingService implements RequestHandler {

    private static final Logger log = LoggerFactory.getLogger(ForwardingService.class);

    /** A sixth of the smallest heap that the deploy file gives: a body is there twice while it is sent. */
    private static final long MAX_BODY_MEMORY_BYTES = 16_777_216;

    private final CallHeaders callHeaders;
    private final UniformRandomProvider random;
    private final TimeSource time;
    private final RelayContext context;
    private final RelayReport report;
    private final TargetHealth health;
    private Optional<CallerListener> listener = Optional.empty();
    private final BodyMemory bodyMemory = new BodyMemory(MAX_BODY_MEMORY_BYTES);
    private int openCount;
    private Optional<RouteTable> routeTable = Optional.empty();
    private boolean draining;
    private boolean accepting = true;

    /**
     * Creates a service that does not listen yet.
     *
     * @param connector opens connections to targets, not null
     * @param time the event loop's clock and timers, not null
     * @param callHeaders reads and writes headers, not null
     * @param random chooses among services and targets, not null
     * @param policy the connections' times, not null
     * @param control asks engines, not null
     * @param decisions what decides, not null
     * @param metrics counts, not null
     */
    public ForwardingService(
            TargetConnector connector,
            TimeSource time,
            CallHeaders callHeaders,
            UniformRandomProvider random,
            ConnectionPolicy policy,
            EngineControl control,
            Decisions decisions,
            ForwardingMetrics metrics) {
        this.callHeaders = Objects.requireNonNull(callHeaders, "callHeaders");
        this.random = Objects.requireNonNull(random, "random");
        this.time = Objects.requireNonNull(time, "time");
        this.report = new LoggingReport(metrics, decisions.limits());
        this.health = decisions.health();
        this.context = new RelayContext(
                time,
                callHeaders,
                new TargetConnectionPool(
                        connector,
                        callHeaders,
                        time,
                        policy,
                        decisions.limits()::tryTake,
                        metrics::connectionOpened,
                        this::targetUnreachable),
                decisions.chooser(),
                control,
                decisions.loads(),
                decisions.cacheIndex(),
                decisions.prefillRates(),
                decisions.retryPolicy(),
                decisions.budget(),
                new Suspicions(decisions.quarantine(), time),
                health,
                decisions.statedLimits(),
                decisions.connectionAborts(),
                report,
                decisions.sharingInstancesCount());
    }

    /**
     * What decides about calls.
     *
     * @param chooser chooses targets, not null
     * @param loads what is under way at targets, not null
     * @param cacheIndex which parts of prompts engines keep, not null
     * @param prefillRates how fast engines read, not null
     * @param retryPolicy decides what follows on a failed send, not null
     * @param budget bounds repeats, not null
     * @param quarantine knows the calls that crash targets, not null
     * @param health knows the targets that could not be reached of late, not null
     * @param limits knows the targets that name a limit, not null
     * @param statedLimits hears of them, not null
     * @param connectionAborts judges the targets that break off calls, not null
     * @param sharingInstancesCount the instances that share a target's connections, asked each time, not null
     */
    public record Decisions(
            TargetChooser chooser,
            LoadTracker loads,
            KvCacheIndex cacheIndex,
            PrefillRates prefillRates,
            RetryPolicy retryPolicy,
            RetryBudget budget,
            Quarantine quarantine,
            TargetHealth health,
            TargetRateLimits limits,
            StatedLimits statedLimits,
            BreakOffs connectionAborts,
            IntSupplier sharingInstancesCount) {}

    /**
     * Listens for callers.
     *
     * @param transport the sockets, not null
     * @param address where, not null
     * @throws IOException if the address cannot be bound
     */
    public void listen(Transport transport, InetSocketAddress address) throws IOException {
        CallerListener bound = new CallerListener(transport, this, time);
        bound.bind(address);
        listener = Optional.of(bound);
    }

    /**
     * Returns the port that callers connect to.
     *
     * @return the port; zero where it does not listen
     */
    public int port() {
        return listener.map(CallerListener::port).orElse(0);
    }

    /**
     * Listens for short questions such as the balancer's.
     *
     * @param transport the sockets, not null
     * @param address where, not null
     * @param ready whether the instance is ready, asked each time, not null
     * @return the listening channel
     * @throws IOException if the address cannot be bound
     */
    public static Channel listenReady(Transport transport, InetSocketAddress address, Supplier<Boolean> ready)
            throws IOException {
        return PageListener.bind(transport, address, _path -> {
            boolean now = ready.get();
            return new PageListener.Page(
                    now ? 200 : LocalResponses.UNAVAILABLE, "text/plain", now ? "ready" : "not ready");
        });
    }

    /**
     * Shows metrics.
     *
     * @param transport the sockets, not null
     * @param address where, not null
     * @param metrics what is shown, not null
     * @return the listening channel
     * @throws IOException if the address cannot be bound
     */
    public static Channel listenMetrics(Transport transport, InetSocketAddress address, ForwardingMetrics metrics)
            throws IOException {
        return PageListener.bind(
                transport, address, _path -> new PageListener.Page(200, "text/plain; version=0.0.4", metrics.text()));
    }

    /**
     * Puts a configuration in force unless it is older than the one in force.
     *
     * @param newTable the configuration, not null
     * @return whether it was put in force
     */
    public boolean configure(RouteTable newTable) {
        if (routeTable.isPresent() && routeTable.get().version() >= newTable.version()) {
            return false;
        }
        routeTable = Optional.of(newTable);
        return true;
    }

    /**
     * Says whether a service's targets are model engines.
     *
     * @param serviceName the service's name, not null
     * @return false for plain services and unknown ones
     */
    public boolean servesModel(String serviceName) {
        return routeTable
                .flatMap(current -> current.service(serviceName))
                .flatMap(ServiceEntry::engine)
                .isPresent();
    }

    /**
     * Returns the services of model engines.
     *
     * @return their names by the configuration in force
     */
    public Set<String> modelServices() {
        return routeTable.map(RouteTable::modelServices).orElseGet(Set::of);
    }

    /**
     * Returns how long an engine is away when it changes its stage.
     *
     * @param serviceName the service's name, not null
     * @return milliseconds by the configuration in force; zero where none is stated
     */
    public long switchMillis(String serviceName) {
        return routeTable
                .flatMap(current -> current.service(serviceName))
                .flatMap(ServiceEntry::engine)
                .map(EngineTraits::stageChangeMillis)
                .orElse(0L);
    }

    /**
     * Says whether a configuration is in force.
     *
     * @return false before the first one
     */
    public boolean configured() {
        return routeTable.isPresent();
    }

    /**
     * A target was found gone without having said that it leaves.
     *
     * @param targetId its id, not null
     */
    public void targetFoundGone(String targetId) {
        context.connectionAborts().forget(targetId);
        context.statedLimits().forget(targetId);
        context.suspicions().handleTargetLost(targetId);
    }

    /**
     * A target takes another part of the work than before, and is back for it.
     *
     * @param targetId its id, not null
     */
    public void targetChangedStage(String targetId) {
        health.endStageChange(targetId);
    }

    /**
     * A target has started again under its id: it holds and knows nothing of before.
     *
     * <p>Failure: what is believed of the earlier start is used at the later one. Calls go where their prompt is thought
     * to be kept and wait until it is read, connections are those of a process that is gone, and the target is left alone
     * for what the earlier one did.
     *
     * @param targetId its id, not null
     */
    public void targetStartedAgain(String targetId) {
        targetFoundGone(targetId);
        forgetTarget(targetId);
        context.cacheIndex().removeEngine(targetId);
    }

    private void targetUnreachable(String targetId) {
        report.targetUnreachable(targetId, health.recordUnreachable(targetId), "connect_failed");
        context.suspicions().handleTargetLost(targetId);
    }

    /** Closes all kept connections to targets: after a suspension nobody knows how long they were idle. */
    public void dropKeptConnections() {
        context.connections().closeIdle();
    }

    /**
     * Closes the kept connections of a target that is gone.
     *
     * @param targetId its id, not null
     */
    public void forgetTarget(String targetId) {
        context.connections().removeTarget(targetId);
    }

    /** From now on answers ask callers to use other connections. */
    public void leave() {
        draining = true;
    }

    /**
     * Takes no more connections and closes those on which nothing is under way; a request that comes on another is told
     * to go elsewhere.
     *
     * <p>Failure: the balancer sends callers on while few instances of a data centre are ready, and callers keep their
     * connections. A call taken shortly before the process has to end would be cut in the middle of its run.
     */
    public void stopTaking() {
        if (accepting) {
            accepting = false;
            logState("stopped_taking");
            listener.ifPresent(CallerListener::stopAccepting);
        }
        closeIdle();
    }

    private void closeIdle() {
        listener.ifPresent(CallerListener::closeIdle);
    }

    /**
     * Returns the calls under way.
     *
     * @return how many have no complete answer yet
     */
    public int openCount() {
        return openCount;
    }

    /**
     * Returns the connections of callers.
     *
     * @return how many are open
     */
    public int callersCount() {
        return listener.map(CallerListener::connectionsCount).orElse(0);
    }

    @Override
    public CallerLimits limits() {
        return routeTable.map(RouteTable::limits).orElse(CallerLimits.DEFAULT);
    }

    @Override
    public boolean draining() {
        return draining;
    }

    @Override
    public BodyMemory bodyMemory() {
        return bodyMemory;
    }

    @Override
    public void recordRefusal(int status, String reason) {
        report.refusedBeforeRouting("", status, reason);
    }

    @Override
    public ActiveCall handle(IncomingCall call, CallerResponse caller, Runnable onDone) {
        CallFacts facts = callHeaders.readCall(call.headers());
        if (!accepting) {
            return refuse(facts, caller, onDone, LocalResponses.UNAVAILABLE, "stopping");
        }
        if (routeTable.isEmpty()) {
            return refuse(facts, caller, onDone, LocalResponses.UNAVAILABLE, "no configuration yet");
        }
        RouteTable current = routeTable.get();
        Optional<ServiceRoute> route = current.findRoute(call.headers().get("host"), call.uri());
        if (route.isEmpty()) {
            return refuse(facts, caller, onDone, LocalResponses.NOT_FOUND, "no route");
        }
        if (facts.requestId().isEmpty()) {
            return refuse(facts, caller, onDone, LocalResponses.BAD_REQUEST, "one request id is needed");
        }
        String serviceName = route.get().chooseService(random.nextDouble());
        Optional<ServiceEntry> service = current.service(serviceName);
        if (service.isEmpty()) {
            return refuse(facts, caller, onDone, LocalResponses.UNAVAILABLE, "unknown service");
        }
        return begin(call, facts, route.get(), service.get(), caller, onDone);
    }

    private ActiveCall begin(
            IncomingCall call,
            CallFacts facts,
            ServiceRoute route,
            ServiceEntry service,
            CallerResponse caller,
            Runnable onDone) {
        CallRelay relay = new CallRelay(context, call, facts, route, service, caller, () -> {
            openCount--;
            onDone.run();
        });
        openCount++;
        relay.start();
        return relay;
    }

    private ActiveCall refuse(CallFacts facts, CallerResponse caller, Runnable onDone, int status, String reason) {
        report.refusedBeforeRouting(facts.requestId().orElse(""), status, reason);
        if (LocalResponses.guaranteesNotRun(status)) {
            LocalResponses.sendRetryable(
                    caller, status, reason, context.retryPolicy().retryAfterMillis());
        } else {
            LocalResponses.sendError(caller, status, reason);
        }
        onDone.run();
        return ActiveCall.NONE;
    }

    /**
     * Logs what is held.
     *
     * @param event the event's name, not null
     */
    public void logState(String event) {
        LogEvent.of(event)
                .with("open", openCount)
                .with("callers", callersCount())
                .with("version", routeTable.map(RouteTable::version).orElse(-1L))
                .info(log);
    }
}
