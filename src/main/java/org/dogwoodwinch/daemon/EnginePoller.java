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
 * Reads engines' loads, states and cache events again and again and tells the routing. Thread-safe.
 *
 * <p>An engine that has not answered the last question is not asked again: a stopped engine would otherwise gather
 * connections until they run out.
 */
final class EnginePoller {

    private static final long STATE_EVERY = 4;
    private static final long LEAVING_MARKS_KEPT = 4;

    private final Supplier<List<ListedInstance>> listed;
    private final Supplier<? extends Iterable<String>> outOfService;
    private final TargetClientFactory clients;
    private final FleetView fleet;
    private final LoadAwareRouter router;
    private final TimeSource time;
    private final long pollMillis;
    private final Map<String, Long> lastCacheEvents = new ConcurrentHashMap<>();
    private final Map<String, Long> starts = new ConcurrentHashMap<>();
    private final Map<String, TimedReport> reports = new ConcurrentHashMap<>();
    private final Map<String, Boolean> asked = new ConcurrentHashMap<>();
    private long rounds;
    private volatile boolean stopped;
    private volatile Cancellable timer = () -> {};

    /**
     * Creates a poller.
     *
     * @param listed the instance list's last answer, not null
     * @param outOfService names of targets that planned changes hold back, not null
     * @param clients reaches the engines, not null
     * @param fleet takes loads and states, not null
     * @param router takes cache events, not null
     * @param time runs the rounds, not null
     * @param pollMillis time between rounds, in milliseconds
     */
    EnginePoller(
            Supplier<List<ListedInstance>> listed,
            Supplier<? extends Iterable<String>> outOfService,
            TargetClientFactory clients,
            FleetView fleet,
            LoadAwareRouter router,
            TimeSource time,
            long pollMillis) {
        this.listed = Objects.requireNonNull(listed, "listed");
        this.outOfService = Objects.requireNonNull(outOfService, "outOfService");
        this.clients = Objects.requireNonNull(clients, "clients");
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.router = Objects.requireNonNull(router, "router");
        this.time = Objects.requireNonNull(time, "time");
        this.pollMillis = pollMillis;
    }

    /** Polls now and from now on. */
    void start() {
        if (stopped) {
            return;
        }
        for (String target : outOfService.get()) {
            fleet.markDraining(target, pollMillis * LEAVING_MARKS_KEPT);
        }
        boolean withState = rounds++ % STATE_EVERY == 0;
        for (ListedInstance line : listed.get()) {
            if (line.kind() == ListedInstance.Kind.ENGINE) {
                poll(line, withState);
            }
        }
        timer = time.schedule(pollMillis, this::start);
    }

    /** Ends polling. */
    void stop() {
        stopped = true;
        timer.cancel();
    }

    /**
     * Returns an engine's last report.
     *
     * @param name the engine, not null
     * @param mostMillis how long ago it may have come, in milliseconds
     * @return the report, or empty where there is none that new
     */
    Optional<LoadReport> freshReport(String name, long mostMillis) {
        return Optional.ofNullable(reports.get(name))
                .filter(report -> time.monotonicMillis() - report.atMillis() <= mostMillis)
                .map(TimedReport::report);
    }

    /**
     * Returns the age of an engine's last report.
     *
     * @param name the engine, not null
     * @return milliseconds, -1 where there is no report
     */
    long reportAgeMillis(String name) {
        TimedReport report = reports.get(name);
        return report == null ? -1 : time.monotonicMillis() - report.atMillis();
    }

    private void poll(ListedInstance line, boolean withState) {
        String name = line.name();
        if (asked.putIfAbsent(name, Boolean.TRUE) != null) {
            return;
        }
        EngineClient engine = clients.engineClient(TargetDirectory.toTarget(line));
        engine.fetchLoadReport().whenComplete((load, _error) -> {
            asked.remove(name);
            if (load instanceof TargetReply.Answer<LoadReport> answer) {
                fleet.onLoadReport(name, answer.value());
                reports.put(name, new TimedReport(answer.value(), time.monotonicMillis()));
            }
        });
        if (withState) {
            engine.fetchState().thenAccept(state -> takeState(name, state));
            engine.fetchCacheEvents(lastCacheEvents.getOrDefault(name, -1L))
                    .thenAccept(events -> takeEvents(name, events));
        }
    }

    private void takeState(String name, TargetReply<EngineState> reply) {
        if (reply instanceof TargetReply.Answer<EngineState> answer) {
            fleet.onEngineState(name, answer.value());
            Long before = starts.put(name, answer.value().startedCount());
            if (before != null && before != answer.value().startedCount()) {
                lastCacheEvents.remove(name);
                router.onCacheLost(name);
            }
        }
    }

    private void takeEvents(String name, TargetReply<List<CacheEvent>> reply) {
        if (reply instanceof TargetReply.Answer<List<CacheEvent>> answer
                && !answer.value().isEmpty()) {
            List<CacheEvent> events = answer.value();
            lastCacheEvents.put(name, events.get(events.size() - 1).sequence());
            router.onCacheEvents(name, events);
        }
    }

    private record TimedReport(LoadReport report, long atMillis) {}
}
