package org.dogwoodwinch.relay;

import io.prometheus.metrics.core.datapoints.CounterDataPoint;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import java.util.function.LongConsumer;

/** Metrics of forwarded calls, kept in a separate registry. */
public final class ForwardingMetrics {

    private static final double MILLIS_PER_SECOND = 1_000.0;
    private static final double[] LATENCY_SECONDS = {0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8, 15
    };

    /** With the bounds within which a leaving target gets no more calls. */
    private static final double[] ENTRIES_AGE_SECONDS = {0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 1.8, 2, 2.7, 3, 3.6, 4, 8};

    private final PrometheusRegistry registry;
    private final Counter answers;
    private final Counter refusals;
    private final Counter failedSends;
    private final RequestEndMetrics requestEnds;
    private final Counter connections;
    private final Counter repeatedAnswers;
    private final Counter retries;
    private final Counter sends;
    private final Counter targetStatements;
    private final Counter keptCalls;
    private final Counter endedResponses;
    private final StreamMetrics streams;
    private final Counter passedOnCalls;
    private final Counter takenOverCalls;
    private final Counter callsWithoutConnection;
    private final Counter blamedCrashes;
    private final Counter segmentTrials;
    private final Gauge heldSegments;
    private final Counter scaleOrders;
    private final Gauge desiredEngines;
    private final Gauge isolated;
    private final Counter peerBytes;
    private final Counter peerDropped;
    private final Gauge peerDelay;
    private final Gauge instances;
    private final Gauge configurationVersion;
    private final Gauge targets;
    private final Gauge rateLimitedTargets;
    private final Counter storeCalls;
    private final Gauge slowTargets;
    private final Gauge failingTargets;
    private final Gauge storeReachable;
    private final Gauge storeEra;
    private final Gauge waitingCalls;
    private final Histogram callWait;
    private final Histogram firstByte;
    private final Histogram complete;
    private final Histogram entriesAge;

    /**
     * Registers the metrics.
     *
     * @param registry the registry for the metrics, not null; must not be shared by several daemons in one process
     */
    public ForwardingMetrics(PrometheusRegistry registry) {
        this.registry = Objects.requireNonNull(registry, "registry");
        this.answers =
                counter("dogwoodwinch_forwarded_answers_total", "Calls answered whole, by kind of route.", "kind");
        this.refusals = counter(
                "dogwoodwinch_forwarded_refusals_total",
                "Calls that ended without a target's answer, by status and reason.",
                "status",
                "reason");
        this.failedSends = counter(
                "dogwoodwinch_forwarded_sends_failed_total",
                "Sends that gave no success, by what is known of them, the reason and what followed.",
                "known",
                "reason",
                "next");
        this.requestEnds = new RequestEndMetrics(registry);
        this.connections = counter("dogwoodwinch_target_connections_opened_total", "Connections opened to targets.");
        this.repeatedAnswers = counter(
                "dogwoodwinch_target_answers_repeated_total",
                "Bytes of targets that do not belong to the call under way, or that nothing proves to, by reason.",
                "reason");
        this.retries = counter(
                "dogwoodwinch_forwarded_repeats_total",
                "Repeats by service: taken from its quota, or not granted.",
                "service",
                "decision");
        this.sends = counter(
                "dogwoodwinch_forwarded_sends_total",
                "Sends to targets, by what they are for and whether the target was known to be limited.",
                "purpose",
                "limited");
        this.targetStatements = counter(
                "dogwoodwinch_target_statements_total",
                "Statements of targets about themselves that were news here, by statement and source.",
                "statement",
                "source");
        this.keptCalls = counter(
                "dogwoodwinch_calls_kept_from_target_total",
                "Calls that were not written to the target that was chosen for them, by reason.",
                "reason");
        this.peerBytes = counter("dogwoodwinch_peer_bytes_sent_total", "Bytes told to other instances.", "topic");
        this.peerDropped = counter(
                "dogwoodwinch_peer_words_dropped_total",
                "Words to other instances that the link's share for them had no room for.",
                "topic");
        this.peerDelay =
                gauge("dogwoodwinch_peer_way_seconds", "How long the last message of a relay was on its way, or more.");
        this.instances = gauge("dogwoodwinch_instances_seen", "Instances that common bounds are dealt out to.");
        this.endedResponses = counter(
                "dogwoodwinch_responses_ended_total",
                "Successful responses of targets whose end was seen, by what showed it and the verdict.",
                "by",
                "verdict");
        this.streams = new StreamMetrics(registry);
        this.passedOnCalls = counter(
                "dogwoodwinch_calls_passed_on_total",
                "Calls passed on to another instance because this one was cut off from all targets or had no connection to"
                        + " them left, by their end.",
                "outcome");
        this.takenOverCalls =
                counter("dogwoodwinch_calls_taken_over_total", "Calls that other instances passed on to this one.");
        this.callsWithoutConnection = counter(
                "dogwoodwinch_calls_without_connection_total",
                "Calls for which this instance had no connection to targets left, by what became of them.",
                "next");
        this.blamedCrashes = counter(
                "dogwoodwinch_segment_crashes_total",
                "Crashes of targets that are blamed on segments of prompts, by who saw them.",
                "source");
        this.segmentTrials = counter(
                "dogwoodwinch_segment_trials_total",
                "Trials of segments that are held back, by their grant and by their end.",
                "outcome");
        this.heldSegments =
                gauge("dogwoodwinch_segments_held_back", "Segments of prompts whose calls are refused for crashes.");
        this.scaleOrders =
                counter("dogwoodwinch_scale_orders_total", "Orders for engines that this instance sent.", "outcome");
        this.desiredEngines = Gauge.builder()
                .name("dogwoodwinch_scale_desired_engines")
                .help("Engines of the last recorded plan, where this instance holds the duty to order them.")
                .labelNames("service", "data_centre", "kind")
                .register(registry);
        this.isolated = gauge("dogwoodwinch_targets_cut_off", "1 while this instance is cut off from all targets.");
        this.configurationVersion =
                gauge("dogwoodwinch_configuration_version", "The configuration in force here; -1 without one.");
        this.targets = gauge("dogwoodwinch_targets_ready", "Targets that may get new work.");
        this.rateLimitedTargets = gauge("dogwoodwinch_targets_limited", "Targets that name a limit in their answers.");
        this.storeCalls =
                counter("dogwoodwinch_store_calls_total", "Calls to the platform's store.", "topic", "operation");
        this.slowTargets =
                gauge("dogwoodwinch_targets_slow", "Targets that need longer than the others of their service.");
        this.failingTargets =
                gauge("dogwoodwinch_targets_failing", "Targets that fail more calls than the others of their service.");
        this.storeReachable = gauge("dogwoodwinch_store_reachable", "1 while the platform's store answers.");
        this.storeEra = gauge(
                "dogwoodwinch_store_era",
                "The store's era since it last came back from a copy; 0 while it has not since this process started.");
        this.waitingCalls = Gauge.builder()
                .name("dogwoodwinch_calls_waiting")
                .help("Calls that wait for capacity, by service.")
                .labelNames("service")
                .register(registry);
        this.callWait = histogram(
                "dogwoodwinch_call_wait_seconds", "Arrival to the release of calls that had to wait for capacity.");
        this.firstByte = histogram("dogwoodwinch_forwarded_first_byte_seconds", "Arrival to the answer's first byte.");
        this.entriesAge = histogram(
                "dogwoodwinch_target_entries_age_seconds",
                "How long the entries of targets were not known to be complete when a call was sent.",
                ENTRIES_AGE_SECONDS);
        this.complete = histogram("dogwoodwinch_forwarded_whole_seconds", "Arrival to the answer's end.");
        configurationVersion.set(-1);
    }

    /**
     * Returns all metrics as text.
     *
     * @return the metrics in the Prometheus text format
     */
    public String text() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(out, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException("writing to a byte array failed", e);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    /**
     * Sets the version of the configuration in force.
     *
     * @param version the version
     */
    public void setConfigurationVersion(long version) {
        configurationVersion.set((double) version);
    }

    /**
     * Sets the number of targets that accept new calls.
     *
     * @param count the number of targets
     */
    public void setReadyTargets(int count) {
        targets.set(count);
    }

    /**
     * Sets whether the platform's store is reachable.
     *
     * @param reachable whether the store answered the last call
     */
    public void setStoreReachable(boolean reachable) {
        storeReachable.set(reachable ? 1 : 0);
    }

    /**
     * Counts a call to the platform's store.
     *
     * @param topic the topic, not null
     * @param operation the kind of the call, not null
     */
    public void storeCalled(String topic, String operation) {
        storeCalls.labelValues(topic, operation).inc();
    }

    /**
     * Sets the era of the store after it has come back from a copy.
     *
     * @param era the era that it states
     */
    public void setStoreEra(long era) {
        storeEra.set((double) era);
    }

    /**
     * Returns the counter of bytes sent to other instances on a topic. Callers keep it, since messages are too frequent
     * for a label lookup each time.
     *
     * @param topic the topic of the messages, not null
     * @return a consumer of the bytes sent: the size of a message times the number of instances that it was sent to
     */
    public LongConsumer peerBytesCounter(String topic) {
        CounterDataPoint counter = peerBytes.labelValues(topic);
        return bytes -> counter.inc((double) bytes);
    }

    /**
     * Counts a message to other instances that was dropped because the bandwidth share for peer messages was used up.
     *
     * @param topic the topic of the message, not null
     */
    public void peerMessageDropped(String topic) {
        peerDropped.labelValues(topic).inc();
    }

    /**
     * Sets an upper bound of the transit time of the last message from a relay.
     *
     * @param wayMillis the transit time in milliseconds
     */
    public void setPeerDelayMillis(long wayMillis) {
        peerDelay.set(wayMillis / MILLIS_PER_SECOND);
    }

    /**
     * Sets the number of instances that common limits are divided among.
     *
     * @param count the number of instances
     */
    public void setInstances(int count) {
        instances.set(count);
    }

    /**
     * Sets the number of targets that state a rate limit in their responses.
     *
     * @param count the number of targets
     */
    public void setRateLimitedTargets(int count) {
        rateLimitedTargets.set(count);
    }

    /**
     * Sets the numbers of targets that are avoided because they differ from the others of their service.
     *
     * @param slowCount the number of targets that are slower
     * @param failingCount the number of targets that fail more calls
     */
    public void setUnequalTargets(long slowCount, long failingCount) {
        slowTargets.set((double) slowCount);
        failingTargets.set((double) failingCount);
    }

    /**
     * Counts a statement of a target about itself that was unknown to this instance.
     *
     * @param statement what the target stated, not null
     * @param source whether it came in an answer or from another instance, not null
     */
    public void targetStatement(String statement, String source) {
        targetStatements.labelValues(statement, source).inc();
    }

    /**
     * Counts an order for engines.
     *
     * @param outcome what is known of it, not null
     */
    public void scaleOrdered(String outcome) {
        scaleOrders.labelValues(outcome).inc();
    }

    /**
     * Sets the number of engines that a pool should have.
     *
     * @param service the service's name, not null
     * @param dataCentre the data centre, not null
     * @param kind the kind of engines, not null
     * @param count the number of engines
     */
    public void setDesiredEngines(String service, String dataCentre, String kind, int count) {
        desiredEngines.labelValues(service, dataCentre, kind).set(count);
    }

    /** Removes the numbers of desired engines, because another instance may order them now. */
    public void clearDesiredEngines() {
        desiredEngines.clear();
    }

    void responseEnded(String by, String verdict) {
        endedResponses.labelValues(by, verdict).inc();
    }

    /**
     * Counts streams of which other instances were to be told later than at their begin.
     *
     * @param outcome what came of it, not null
     * @param count the number of streams
     */
    public void streamBeginsTold(String outcome, int count) {
        streams.beginsTold(outcome, count);
    }

    StreamMetrics streams() {
        return streams;
    }

    void callPassedOn(String outcome) {
        passedOnCalls.labelValues(outcome).inc();
    }

    void callTakenOver() {
        takenOverCalls.inc();
    }

    void callWithoutConnection(String next) {
        callsWithoutConnection.labelValues(next).inc();
    }

    void segmentsBlamed(String source) {
        blamedCrashes.labelValues(source).inc();
    }

    void segmentTrial(String outcome) {
        segmentTrials.labelValues(outcome).inc();
    }

    void setHeldSegments(int count) {
        heldSegments.set(count);
    }

    void setIsolated(boolean isIsolated) {
        isolated.set(isIsolated ? 1 : 0);
    }

    void setWaitingCalls(String service, int count) {
        waitingCalls.labelValues(service).set(count);
    }

    void callWaited(long millis) {
        callWait.observe(millis / MILLIS_PER_SECOND);
    }

    void callKept(String reason) {
        keptCalls.labelValues(reason).inc();
    }

    void sent(String purpose, boolean limitedTarget, long entriesAgeMillis) {
        sends.labelValues(purpose, Boolean.toString(limitedTarget)).inc();
        entriesAge.observe(entriesAgeMillis / MILLIS_PER_SECOND);
    }

    void retryDecided(String service, String decision) {
        retries.labelValues(service, decision).inc();
    }

    void answered(String kind, long millis) {
        answers.labelValues(kind).inc();
        complete.observe(millis / MILLIS_PER_SECOND);
    }

    void firstByte(long millis) {
        firstByte.observe(millis / MILLIS_PER_SECOND);
    }

    void refused(int status, String reason) {
        refusals.labelValues(Integer.toString(status), reason).inc();
    }

    void sendFailed(String known, String reason, String next) {
        failedSends.labelValues(known, reason, next).inc();
    }

    RequestEndMetrics requestEnds() {
        return requestEnds;
    }

    void answerRepeated(String reason) {
        repeatedAnswers.labelValues(reason).inc();
    }

    void connectionOpened() {
        connections.inc();
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder().name(name).help(help).labelNames(labels).register(registry);
    }

    private Gauge gauge(String name, String help) {
        return Gauge.builder().name(name).help(help).register(registry);
    }

    private Histogram histogram(String name, String help) {
        return histogram(name, help, LATENCY_SECONDS);
    }

    private Histogram histogram(String name, String help, double[] upperBoundsSeconds) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(upperBoundsSeconds)
                .register(registry);
    }
}
