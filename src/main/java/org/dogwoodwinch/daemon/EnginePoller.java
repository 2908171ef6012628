package org.dogwoodwinch.daemon;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.routing.FleetView;
import org.dogwoodwinch.routing.LoadAwareRouter;
import org.dogwoodwinch.target.CacheEvent;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.EngineState;
import org.dogwoodwinch.target.LoadReport;
import org.dogwoodwinch.target.TargetClientFactory;
import org.dogwoodwinch.target.TargetReply;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;

/**
 * Polls the engines for load reports, states and cache events, and passes them to the router. Thread-safe.
 *
 * <p>Failure: an engine that is stopped without closing its connections would accumulate unanswered requests, each on a
 * connection of its own, until no connection is left. An engine is therefore not polled again before its last load
 * request has completed.
 */
final class EnginePoller {

    private static final long STATE_POLL_ROUNDS = 4;
    private static final long DRAIN_MARK_ROUNDS = 4;

    private final Supplier<List<ListedInstance>> instanceList;
    private final Supplier<? extends Iterable<String>> unavailableTargets;
    private final TargetClientFactory targetClients;
    private final FleetView fleetView;
    private final LoadAwareRouter router;
    private final TimeSource time;
    private final long pollIntervalMillis;
    private final Map<String, Long> lastEventSequences = new ConcurrentHashMap<>();
    private final Map<String, Long> startedCounts = new ConcurrentHashMap<>();
    private final Map<String, TimedReport> lastReports = new ConcurrentHashMap<>();
    private final Map<String, Boolean> pendingLoadReports = new ConcurrentHashMap<>();
    private long roundsCount;
    private volatile boolean stopped;
    private volatile Cancellable timer = () -> {};

    /**
     * Creates a poller. It sends nothing until {@link #start()} is called.
     *
     * @param instanceList returns the latest instance list, not null
     * @param unavailableTargets returns the names of targets that are out of service or leaving, not null
     * @param targetClients creates the clients of the engines, not null
     * @param fleetView receives load reports and states, not null
     * @param router receives cache events, not null
     * @param time the clock and timers, not null
     * @param pollIntervalMillis the time between polling rounds, in milliseconds
     */
    EnginePoller(
            Supplier<List<ListedInstance>> instanceList,
            Supplier<? extends Iterable<String>> unavailableTargets,
            TargetClientFactory targetClients,
            FleetView fleetView,
            LoadAwareRouter router,
            TimeSource time,
            long pollIntervalMillis) {
        this.instanceList = Objects.requireNonNull(instanceList, "instanceList");
        this.unavailableTargets = Objects.requireNonNull(unavailableTargets, "unavailableTargets");
        this.targetClients = Objects.requireNonNull(targetClients, "targetClients");
        this.fleetView = Objects.requireNonNull(fleetView, "fleetView");
        this.router = Objects.requireNonNull(router, "router");
        this.time = Objects.requireNonNull(time, "time");
        this.pollIntervalMillis = pollIntervalMillis;
    }

    /** Runs a polling round and schedules the next. */
    void start() {
        if (stopped) {
            return;
        }
        for (String target : unavailableTargets.get()) {
            fleetView.markDraining(target, pollIntervalMillis * DRAIN_MARK_ROUNDS);
        }
        boolean includeState = roundsCount++ % STATE_POLL_ROUNDS == 0;
        for (ListedInstance listed : instanceList.get()) {
            if (listed.kind() == ListedInstance.Kind.ENGINE) {
                poll(listed, includeState);
            }
        }
        timer = time.schedule(pollIntervalMillis, this::start);
    }

    /** Stops polling. */
    void stop() {
        stopped = true;
        timer.cancel();
    }

    /**
     * Returns the last load report of an engine if it is recent.
     *
     * @param name the engine's name, not null
     * @param maxAgeMillis the maximum time since the report was received, in milliseconds
     * @return the report, or empty if there is none or it is older
     */
    Optional<LoadReport> recentReport(String name, long maxAgeMillis) {
        return Optional.ofNullable(lastReports.get(name))
                .filter(report -> time.monotonicMillis() - report.receivedAtMillis() <= maxAgeMillis)
                .map(TimedReport::report);
    }

    /**
     * Returns the time since the last load report of an engine was received.
     *
     * @param name the engine's name, not null
     * @return the time in milliseconds, or -1 if there is no report
     */
    long reportAgeMillis(String name) {
        TimedReport report = lastReports.get(name);
        return report == null ? -1 : time.monotonicMillis() - report.receivedAtMillis();
    }

    private void poll(ListedInstance listed, boolean includeState) {
        String name = listed.name();
        if (pendingLoadReports.putIfAbsent(name, Boolean.TRUE) != null) {
            return;
        }
        EngineClient engine = targetClients.engineClient(TargetDirectory.toTarget(listed));
        engine.fetchLoadReport().whenComplete((load, _error) -> {
            pendingLoadReports.remove(name);
            if (load instanceof TargetReply.Answer<LoadReport> answer) {
                fleetView.onLoadReport(name, answer.value());
                lastReports.put(name, new TimedReport(answer.value(), time.monotonicMillis()));
            }
        });
        if (includeState) {
            engine.fetchState().thenAccept(state -> onState(name, state));
            engine.fetchCacheEvents(lastEventSequences.getOrDefault(name, -1L))
                    .thenAccept(events -> onCacheEvents(name, events));
        }
    }

    private void onState(String name, TargetReply<EngineState> reply) {
        if (reply instanceof TargetReply.Answer<EngineState> answer) {
            fleetView.onEngineState(name, answer.value());
            Long previousCount = startedCounts.put(name, answer.value().startedCount());
            if (previousCount != null && previousCount != answer.value().startedCount()) {
                lastEventSequences.remove(name);
                router.onCacheLost(name);
            }
        }
    }

    private void onCacheEvents(String name, TargetReply<List<CacheEvent>> reply) {
        if (reply instanceof TargetReply.Answer<List<CacheEvent>> answer
                && !answer.value().isEmpty()) {
            List<CacheEvent> events = answer.value();
            lastEventSequences.put(name, events.get(events.size() - 1).sequence());
            router.onCacheEvents(name, events);
        }
    }

    private record TimedReport(LoadReport report, long receivedAtMillis) {}
}
