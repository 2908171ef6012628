package org.dogwoodwinch.faultrun;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Response;
import org.dogwoodwinch.history.CatalogueEvent;
import org.dogwoodwinch.history.FleetEvent;
import org.dogwoodwinch.history.HistoryRecorder;
import org.dogwoodwinch.time.TimeSource;

/**
 * Asks each daemon for its status ten times a second, as a balancer would: which ones are ready, and which revision is
 * in force. Thread-safe.
 */
final class InstanceWitness {

    private static final long POLL_MILLIS = 100;
    private static final long ANSWER_MILLIS = 1_000;
    private static final int OK = 200;

    private final AsyncHttpClient client;
    private final List<RunDaemon> daemons;
    private final TimeSource time;
    private final HistoryRecorder history;
    private final ObjectMapper mapper = new ObjectMapper();
    private final Set<String> ready = new HashSet<>();
    private final Set<String> started = new HashSet<>();
    private final Map<String, Long> revisions = new HashMap<>();
    private volatile boolean running = true;

    /**
     * Creates a witness.
     *
     * @param client makes the calls, not null
     * @param daemons whom to ask, not null
     * @param time gives the run's common time of day and runs the timers, not null
     * @param history takes the events, not null
     */
    InstanceWitness(AsyncHttpClient client, List<RunDaemon> daemons, TimeSource time, HistoryRecorder history) {
        this.client = Objects.requireNonNull(client, "client");
        this.daemons = List.copyOf(daemons);
        this.time = Objects.requireNonNull(time, "time");
        this.history = Objects.requireNonNull(history, "history");
    }

    /** Begins to ask. */
    void start() {
        daemons.forEach(this::poll);
    }

    /** Asks no more. */
    void stop() {
        running = false;
    }

    /**
     * Returns the daemons that a balancer would send calls to.
     *
     * @return those that were ready when they were last asked
     */
    synchronized List<RunDaemon> ready() {
        return daemons.stream().filter(daemon -> ready.contains(daemon.name())).toList();
    }

    /**
     * Says whether all are ready with a revision or a later one.
     *
     * @param revision the revision
     * @return whether all are
     */
    synchronized boolean allReadyWith(long revision) {
        return daemons.stream()
                .allMatch(daemon -> ready.contains(daemon.name())
                        && revisions.getOrDefault(daemon.name(), Long.MIN_VALUE) >= revision);
    }

    /**
     * Hears that a daemon's process is gone.
     *
     * @param name its name, not null
     */
    synchronized void onEnded(String name) {
        ready.remove(name);
        revisions.remove(name);
        if (started.remove(name)) {
            history.record(new FleetEvent.InstanceEnded(time.wallMillis(), name));
        }
    }

    private void poll(RunDaemon daemon) {
        CompletionStage<Response> answer = client.prepareGet("http://127.0.0.1:" + daemon.operatorsPort() + "/status")
                .setRequestTimeout(Duration.ofMillis(ANSWER_MILLIS))
                .execute()
                .toCompletableFuture();
        answer.whenComplete((response, error) -> {
            if (error != null || response.getStatusCode() != OK || !read(daemon, response)) {
                notReady(daemon.name());
            }
            if (running) {
                time.schedule(POLL_MILLIS, () -> poll(daemon));
            }
        });
    }

    private boolean read(RunDaemon daemon, Response response) {
        try {
            JsonNode status = mapper.readTree(response.getResponseBody());
            note(
                    daemon,
                    status.path("ready").asBoolean(),
                    status.path("catalogueRevision").asLong(-1));
            return true;
        } catch (JsonProcessingException e) {
            return false;
        }
    }

    private synchronized void note(RunDaemon daemon, boolean isReady, long revision) {
        String name = daemon.name();
        if (!daemon.process().isAlive()) {
            return;
        }
        if (!isReady) {
            ready.remove(name);
            return;
        }
        ready.add(name);
        Long before = revisions.put(name, revision);
        if (before == null || before != revision) {
            history.record(new CatalogueEvent.InForce(time.wallMillis(), name, revision, "revision " + revision));
        }
        if (started.add(name)) {
            history.record(new FleetEvent.InstanceStarted(time.wallMillis(), name));
        }
    }

    private synchronized void notReady(String name) {
        ready.remove(name);
    }
}
