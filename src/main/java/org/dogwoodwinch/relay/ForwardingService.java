package org.dogwoodwinch.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.forwarding.ApiKey;
import org.dogwoodwinch.forwarding.CallOwner;
import org.dogwoodwinch.forwarding.CallerIdentity;
import org.dogwoodwinch.forwarding.CallerLimits;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.RouteTable;
import org.dogwoodwinch.forwarding.ServiceEntry;
import org.dogwoodwinch.forwarding.ServiceRoute;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.forwarding.TargetIsolation;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Forwards callers' requests to targets by the configuration in force. Confined to one event loop. */
public final class ForwardingService implements RequestHandler, TargetEvents, DrainableService {

    private static final Logger log = LoggerFactory.getLogger(ForwardingService.class);

    /**
     * Maximum memory of request bodies: a sixth of the smallest heap that the deployment configures, since a body is in
     * memory twice while it is sent.
     */
    private static final long MAX_BODY_MEMORY_BYTES = 16_777_216;

    private final CallHeaders callHeaders;
    private final UniformRandomProvider random;
    private final TimeSource time;
    private final RelayContext context;
    private final RelayReport report;
    private final TargetHealth health;
    private final TargetStatements statements;
    private final TargetIsolation isolation;
    private final IsolationWatch isolationWatch;
    private final NeighbourCalls neighbourCalls;
    private final CallQueue callQueue;
    private final ForwardingMetrics metrics;
    private final UnansweredRequests unansweredRequests;
    private Optional<CallerListener> listener = Optional.empty();
    private final BodyMemory bodyMemory = new BodyMemory(MAX_BODY_MEMORY_BYTES);
    private final OpenCalls openCalls = new OpenCalls();
    private final RoutesInForce routes = new RoutesInForce();
    private boolean draining;
    private boolean accepting = true;

    /**
     * Creates a service that does not listen for connections yet.
     *
     * @param connector opens connections to targets, not null
     * @param time clock and timers of the event loop, not null
     * @param callHeaders parses and builds HTTP headers, not null
     * @param random chooses among the services of a route, not null
     * @param policy time-outs of connections to targets, not null
     * @param control client of the engines' control interfaces, not null
     * @param decisions components that decide about calls, not null
     * @param neighbours the other instances, which take over calls while this one is cut off from all targets, not null
     * @param metrics counters and histograms of forwarded calls, not null
     */
    public ForwardingService(
            TargetConnector connector,
            TimeSource time,
            CallHeaders callHeaders,
            UniformRandomProvider random,
            ConnectionPolicy policy,
            EngineControl control,
            RelayDecisions decisions,
            Neighbours neighbours,
            ForwardingMetrics metrics) {
        this.callHeaders = Objects.requireNonNull(callHeaders, "callHeaders");
        this.random = Objects.requireNonNull(random, "random");
        this.time = Objects.requireNonNull(time, "time");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.report = new LoggingReport(metrics, decisions.limits(), decisions.rests(), decisions.entriesAge(), time);
        this.unansweredRequests = new UnansweredRequests(metrics.requestEnds(), callHeaders, time);
        this.isolation = new TargetIsolation(() -> decisions.targets().get().size(), random);
        this.health = decisions.health();
        this.statements = decisions.statements();
        Suspicions suspicions = new Suspicions(decisions.quarantine(), decisions.segments()::recordCrash, time);
        TargetLinkGuard links = new TargetLinkGuard(isolation, health, suspicions, report, metrics, time, isolated -> {
            neighbours.onIsolationChange().accept(isolated);
            passOnWaitingCalls(isolated);
        });
        this.neighbourCalls =
                new NeighbourCalls(neighbours, random, isolation::isIsolated, callHeaders, time, policy, metrics);
        this.callQueue = new CallQueue(new CallQueue.Dependencies(
                decisions.room(),
                random,
                neighbourCalls::arePassedOn,
                decisions.sharingInstancesCount(),
                metrics,
                time));
        this.context = new RelayContext(
                time,
                callHeaders,
                new TargetConnectionPool(
                        connector,
                        callHeaders,
                        HeadVerdict::ofTarget,
                        time,
                        policy,
                        decisions.limits()::tryTake,
                        links,
                        this::recordStatements),
                decisions.chooser(),
                control,
                decisions.loads(),
                decisions.cacheIndex(),
                decisions.prefillRates(),
                decisions.performance(),
                decisions.stallCost(),
                decisions.retryPolicy(),
                decisions.budget(),
                suspicions,
                decisions.segments(),
                health,
                decisions.statedLimits(),
                decisions.rests(),
                decisions.connectionAborts(),
                decisions.callStarts(),
                decisions.streamOrigins(),
                isolation,
                new CrashProbe(this::probe, isolation::isIsolated, links::unreachable),
                neighbourCalls,
                callQueue,
                report,
                decisions.sharingInstancesCount());
        this.isolationWatch = links.watch(
                decisions.targets(), this::probe, neighbourCalls.linkProbe(), context.connections()::closeIdle);
    }

    /**
     * Starts to accept connections from callers.
     *
     * @param transport the socket transport, not null
     * @param address the address to listen on, not null
     * @throws IOException if the address cannot be bound
     */
    public void listen(Transport transport, InetSocketAddress address) throws IOException {
        CallerListener bound = new CallerListener(transport, this, time);
        bound.bind(address);
        listener = Optional.of(bound);
    }

    /**
     * Returns the port on which the service accepts callers.
     *
     * @return the port; zero if the service does not listen
     */
    public int port() {
        return listener.map(CallerListener::port).orElse(0);
    }

    /**
     * Returns the configuration in force.
     *
     * @return the configuration, which a newer one may replace
     */
    public RoutesInForce routes() {
        return routes;
    }

    @Override
    public void handleTargetLost(String targetId) {
        context.connectionAborts().removeTarget(targetId);
        context.statedLimits().removeTarget(targetId);
        context.suspicions().handleTargetLost(targetId);
    }

    @Override
    public void handleStageChange(String targetId) {
        health.endStageChange(targetId);
    }

    /**
     * {@inheritDoc}
     *
     * <p>Failure: state of the earlier incarnation is applied to the new one. Calls are routed to it for cached prompts
     * that it has to prefill again, pooled connections belong to a process that no longer exists, and the target is
     * avoided because of errors of the earlier incarnation.
     */
    @Override
    public void handleTargetRestart(String targetId) {
        handleTargetLost(targetId);
        removeTarget(targetId);
        context.cacheIndex().removeEngine(targetId);
    }

    /** Starts to watch whether this instance is cut off from all targets. */
    public void startIsolationWatch() {
        isolationWatch.start();
    }

    /** Returns whether this instance is cut off from all targets. */
    boolean isIsolated() {
        return isolation.isIsolated();
    }

    /** Passes on the calls that wait for targets from which nothing has arrived since the cut began. */
    private void passOnWaitingCalls(boolean isolated) {
        if (isolated && isolation.isSilent(time.monotonicMillis())) {
            openCalls.passOnWaiting();
        }
    }

    private boolean probe(Incarnation target, Consumer<Boolean> onOutcome) {
        return routes.current()
                .flatMap(current -> current.service(target.service()))
                .map(service -> context.connections().probe(target, context.connectionsPerTarget(service), onOutcome))
                .orElse(false);
    }

    /**
     * Records what a target states about itself in the head of any response on a connection to it. If another target at
     * its address states that it is leaving, the one that was meant is gone, so the same holds for that one.
     */
    private void recordStatements(Incarnation target, ResponseAttributes response) {
        if (response.leaving()) {
            statements.recordLeaving(target.id(), target.startedMillis());
        }
        response.restMillis()
                .ifPresent(restMillis -> statements.recordRest(target.id(), target.startedMillis(), restMillis));
    }

    /** Closes all idle connections to targets, since after a suspension of the process their idle time is unknown. */
    public void closeIdleConnections() {
        context.connections().closeIdle();
    }

    @Override
    public void removeTarget(String targetId) {
        context.connections().removeTarget(targetId);
    }

    @Override
    public void startDraining() {
        draining = true;
    }

    /**
     * {@inheritDoc}
     *
     * <p>Failure: the load balancer keeps sending callers to this instance while few instances of its data centre are
     * ready, and callers keep their connections open. A call accepted shortly before the process has to exit would be
     * cut off while it runs.
     */
    @Override
    public void stopAccepting() {
        if (accepting) {
            accepting = false;
            logState("stopped_taking");
            listener.ifPresent(CallerListener::stopAccepting);
        }
        closeIdle();
    }

    /**
     * {@inheritDoc}
     *
     * <p>Failure: a call is sent shortly before the process has to exit, and is cut off while it runs.
     */
    @Override
    public void refuseUnfinishableCalls(long remainingMillis) {
        callQueue.refuseUnfinishable(remainingMillis);
    }

    /** Returns the number of calls that wait for capacity. */
    int waitingCallsCount() {
        return callQueue.waitingCount();
    }

    private void closeIdle() {
        listener.ifPresent(CallerListener::closeIdle);
    }

    /**
     * {@inheritDoc}
     *
     * <p>Failure: the process exits with calls under way, whose callers receive nothing and do not learn whether they may
     * send their calls again.
     */
    @Override
    public int endOpenCalls() {
        int endedCount = openCalls.endAll();
        listener.ifPresent(CallerListener::closeAll);
        return endedCount;
    }

    @Override
    public int openCallsCount() {
        return openCalls.count();
    }

    @Override
    public int callerConnectionsCount() {
        return listener.map(CallerListener::connectionsCount).orElse(0);
    }

    @Override
    public CallerLimits limits() {
        return routes.limits();
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
    public void recordUnanswered(UnansweredRequest ended) {
        unansweredRequests.record(ended);
    }

    @Override
    public ActiveCall handle(IncomingCall call, CallerResponse caller, Runnable onDone) {
        return handle(call, caller, onDone, false, false);
    }

    /**
     * Handles a call that another instance passes on. It is not passed on again. If this instance cannot serve it
     * because of its own state, the other instance is told so and finds another one.
     */
    ActiveCall takeOver(IncomingCall call, CallerResponse caller, Runnable onDone) {
        boolean counted = NeighbourCalls.takeCounted(call.headers());
        Optional<String> obstacle = obstacleToTakeOver();
        String requestId = callHeaders.parseCall(call.headers()).requestId().orElse("");
        CallerResponse identified = new IdentifiedResponse(caller, callHeaders, requestId);
        LogEvent.of("call_taken_over")
                .with("request", requestId)
                .with("obstacle", obstacle.orElse(""))
                .info(log);
        if (obstacle.isPresent()) {
            LocalResponses.sendNotTakenOver(identified, obstacle.get());
            onDone.run();
            return ActiveCall.NONE;
        }
        metrics.callTakenOver();
        return handle(call, identified, onDone, true, counted);
    }

    private Optional<String> obstacleToTakeOver() {
        if (!accepting) {
            return Optional.of(LocalResponses.STOPPING);
        }
        if (!routes.isConfigured()) {
            return Optional.of("no_configuration");
        }
        return isolation.isIsolated() ? Optional.of("cut_off_from_targets") : Optional.empty();
    }

    private ActiveCall handle(
            IncomingCall call, CallerResponse caller, Runnable onDone, boolean takenOver, boolean counted) {
        CallAttributes attributes = callHeaders.parseCall(call.headers());
        if (!accepting) {
            return refuse(attributes, caller, onDone, LocalResponses.UNAVAILABLE, LocalResponses.STOPPING);
        }
        if (!routes.isConfigured()) {
            return refuse(attributes, caller, onDone, LocalResponses.UNAVAILABLE, "no configuration yet");
        }
        RouteTable current = routes.current().orElseThrow();
        Optional<ServiceRoute> route = current.findRoute(call.headers().get("host"), call.uri());
        if (route.isEmpty()) {
            return refuse(attributes, caller, onDone, LocalResponses.NOT_FOUND, "no route");
        }
        if (attributes.requestId().isEmpty()) {
            return refuse(attributes, caller, onDone, LocalResponses.BAD_REQUEST, "one request id is needed");
        }
        Optional<ApiKey> key = callHeaders.takeApiKey(call.headers());
        if (!takenOver && neighbourCalls.arePassedOn()) {
            PassedOnCall passedOn =
                    new PassedOnCall(call, key, attributes, route.get(), PassReason.CUT_OFF, false, false, () -> false);
            long retryAfterMillis = context.retryPolicy().retryAfterMillis();
            return openCalls.passOn(ended -> neighbourCalls.passOn(passedOn, caller, retryAfterMillis, ended), onDone);
        }
        CallerIdentity identity = current.identify(route.get(), key);
        if (identity instanceof CallerIdentity.Rejected rejected) {
            return refuse(attributes, caller, onDone, LocalResponses.UNAUTHORIZED, rejected.reason());
        }
        Optional<CallOwner> owner = ((CallerIdentity.Accepted) identity).owner();
        IdentifiedCall identified =
                new IdentifiedCall(call, key, attributes, owner, route.get(), current.version(), takenOver, counted);
        if (!identified.takesUpStream()) {
            String serviceName = identified.chooseService(random.nextDouble());
            return forward(identified, current.service(serviceName), Optional.empty(), caller, onDone);
        }
        return openCalls.search(onEnd -> new OriginSearch(
                identified,
                caller,
                context,
                origin -> forward(identified, current.service(origin.service()), Optional.of(origin), caller, onDone),
                onEnd,
                onDone));
    }

    private ActiveCall forward(
            IdentifiedCall identified,
            Optional<ServiceEntry> service,
            Optional<StreamOrigin.Known> origin,
            CallerResponse caller,
            Runnable onDone) {
        if (service.isEmpty()) {
            return refuse(identified.attributes(), caller, onDone, LocalResponses.UNAVAILABLE, "unknown service");
        }
        RoutedCall routed = identified.at(service.get(), origin);
        return openCalls.forward(ended -> new CallRelay(context, routed, caller, ended), onDone);
    }

    private ActiveCall refuse(
            CallAttributes attributes, CallerResponse caller, Runnable onDone, int status, String reason) {
        report.refusedBeforeRouting(attributes.requestId().orElse(""), status, reason);
        if (LocalResponses.guaranteesNotRun(status)) {
            LocalResponses.sendRetryable(
                    caller, status, reason, context.retryPolicy().retryAfterMillis());
        } else {
            LocalResponses.sendError(caller, status, reason);
        }
        onDone.run();
        return ActiveCall.NONE;
    }

    @Override
    public void logState(String event) {
        LogEvent.of(event)
                .with("open", openCallsCount())
                .with("callers", callerConnectionsCount())
                .with("version", routes.current().map(RouteTable::version).orElse(-1L))
                .info(log);
    }
}
