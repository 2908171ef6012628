package org.dogwoodwinch.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.dogwoodwinch.authority.TargetActivity;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.time.TimeSource;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Exchanges, between instances, the number of requests in flight on targets that are out of service, so that the
 * instance that sends an order to a target knows when the last urgent request has finished. Thread-safe.
 *
 * <p>An instance that reports a target has read that it is out of service, and counts the requests that it sent before.
 * A target is therefore known to be idle only once every other instance has reported it recently. While an instance is
 * partitioned, the target counts as busy, because that instance may not know of the drain and may still be sending.
 */
public final class DrainReportExchange implements TargetActivity {

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());
    private static final String KEY = "drain";
    private static final long PUBLISH_INTERVAL_MILLIS = 500;
    private static final long REPUBLISH_INTERVAL_MILLIS = 2_000;
    private static final long REPORT_TTL_MILLIS = 8_000;

    private final PeerBus peerBoard;
    private final Function<String, DrainReport.TargetInFlight> localInFlight;
    private final Supplier<Set<String>> outOfService;
    private final Supplier<Set<String>> otherInstances;
    private final TimeSource time;
    private final Map<String, ReceivedReport> receivedReports = new HashMap<>();
    private Set<String> previousOutOfService = Set.of();
    private DrainReport lastReport = new DrainReport(List.of());
    private long publishedMillis;
    private boolean running;

    /**
     * Creates the exchange and subscribes to the reports of other instances.
     *
     * @param peerBoard distributes the reports among instances, not null
     * @param localInFlight counts the requests of this instance in flight on a target, not null
     * @param outOfService the targets to which this instance sends no new requests, not null
     * @param otherInstances the names of the other instances, including those that are shutting down, not null
     * @param time provides the time and runs the timers, not null
     */
    public DrainReportExchange(
            PeerBus peerBoard,
            Function<String, DrainReport.TargetInFlight> localInFlight,
            Supplier<Set<String>> outOfService,
            Supplier<Set<String>> otherInstances,
            TimeSource time) {
        this.peerBoard = Objects.requireNonNull(peerBoard, "peerBoard");
        this.localInFlight = Objects.requireNonNull(localInFlight, "localInFlight");
        this.outOfService = Objects.requireNonNull(outOfService, "outOfService");
        this.otherInstances = Objects.requireNonNull(otherInstances, "otherInstances");
        this.time = Objects.requireNonNull(time, "time");
        peerBoard.subscribe(PeerTopic.DRAIN, this::onItem);
    }

    /** Starts publishing. Further calls have no effect. */
    public synchronized void start() {
        if (!running) {
            running = true;
            time.schedule(PUBLISH_INTERVAL_MILLIS, this::publish);
        }
    }

    /** Stops publishing. */
    public synchronized void stop() {
        running = false;
    }

    @Override
    public RequestsInFlight requestsInFlight(String target) {
        DrainReport.TargetInFlight local = localInFlight.apply(target);
        int urgent = local.urgent();
        int all = local.all();
        boolean known = true;
        for (String otherInstance : otherInstances.get()) {
            Optional<DrainReport.TargetInFlight> reported = reportedInFlight(otherInstance, target);
            known &= reported.isPresent();
            urgent += reported.map(DrainReport.TargetInFlight::urgent).orElse(0);
            all += reported.map(DrainReport.TargetInFlight::all).orElse(0);
        }
        return new RequestsInFlight(known, urgent, all);
    }

    private synchronized Optional<DrainReport.TargetInFlight> reportedInFlight(String instance, String target) {
        ReceivedReport received = receivedReports.get(instance);
        if (received == null || time.monotonicMillis() - received.createdMillis() > REPORT_TTL_MILLIS) {
            return Optional.empty();
        }
        return received.report().lines().stream()
                .filter(entry -> entry.target().equals(target))
                .findFirst();
    }

    private void publish() {
        Set<String> current = Set.copyOf(outOfService.get());
        Set<String> previous;
        synchronized (this) {
            if (!running) {
                return;
            }
            previous = previousOutOfService;
            previousOutOfService = current;
        }
        // A request that was routed just before its target went out of service may be counted just after, so a target
        // is reported only from the second interval on. Reporting zero requests in flight in between would let an order
        // interrupt that request.
        DrainReport report = new DrainReport(current.stream()
                .filter(previous::contains)
                .sorted()
                .map(localInFlight)
                .toList());
        if (tryMarkPublished(report)) {
            peerBoard.publish(PeerTopic.DRAIN, KEY, encode(report), REPORT_TTL_MILLIS);
        }
        time.schedule(PUBLISH_INTERVAL_MILLIS, this::publish);
    }

    /**
     * Tests whether a report must be published, and if so records it as the last published one. An unchanged report is
     * repeated only as often as needed to keep it from expiring, because every instance relays it.
     */
    private synchronized boolean tryMarkPublished(DrainReport report) {
        long nowMillis = time.monotonicMillis();
        boolean changedOrStale = !report.equals(lastReport) || nowMillis - publishedMillis >= REPUBLISH_INTERVAL_MILLIS;
        if (report.lines().isEmpty() || !changedOrStale) {
            return false;
        }
        lastReport = report;
        publishedMillis = nowMillis;
        return true;
    }

    private synchronized void onItem(PeerUpdate item) {
        try {
            DrainReport report = MAPPER.readValue(item.payload().toByteArray(), DrainReport.class);
            // The age counts from the creation of the report, because a report that was relayed for long does not
            // describe the present.
            receivedReports.put(item.origin(), new ReceivedReport(report, time.monotonicMillis() - item.ageMillis()));
        } catch (IOException | IllegalArgumentException e) {
            // Without a readable report from this instance, the target counts as busy.
            receivedReports.remove(item.origin());
        }
    }

    private static Bytes encode(DrainReport report) {
        try {
            return Bytes.of(MAPPER.writeValueAsBytes(report));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize the drain report", e);
        }
    }

    private record ReceivedReport(DrainReport report, long createdMillis) {}
}
