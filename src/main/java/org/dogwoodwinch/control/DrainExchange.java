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
import org.dogwoodwinch.peer.PeerBoard;
import org.dogwoodwinch.peer.PeerItem;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.time.TimeSource;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Tells the instances of each other's work on targets that are out of service, so that the one that orders a target knows
 * when the last urgent request has finished. Thread-safe.
 *
 * <p>An instance that lists a target has read that it is out of service, and counts what it sent before. So a target is
 * known to be free only once every listed instance has listed it of late; one that is cut off keeps it busy, because it
 * may not know of the drain and may still be sending.
 */
public final class DrainExchange implements TargetActivity {

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());
    private static final String KEY = "drain";
    private static final long PUBLISH_INTERVAL_MILLIS = 500;
    private static final long REPUBLISH_INTERVAL_MILLIS = 2_000;
    private static final long REPORT_TTL_MILLIS = 8_000;

    private final PeerBoard peerBoard;
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
     * Creates the exchange and subscribes.
     *
     * @param peerBoard carries the reports, not null
     * @param localInFlight counts this instance's work on a target, not null
     * @param outOfService the targets that this instance sends nothing new to, not null
     * @param otherInstances the names of the other instances, leaving ones too, not null
     * @param time gives the time and runs the timers, not null
     */
    public DrainExchange(
            PeerBoard peerBoard,
            Function<String, DrainReport.TargetInFlight> localInFlight,
            Supplier<Set<String>> outOfService,
            Supplier<Set<String>> otherInstances,
            TimeSource time) {
        this.peerBoard = Objects.requireNonNull(peerBoard, "board");
        this.localInFlight = Objects.requireNonNull(localInFlight, "own");
        this.outOfService = Objects.requireNonNull(outOfService, "outOfService");
        this.otherInstances = Objects.requireNonNull(otherInstances, "others");
        this.time = Objects.requireNonNull(time, "time");
        peerBoard.subscribe(PeerTopic.DRAIN, this::onItem);
    }

    /** Begins to publish; a second call has no effect. */
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
    public InFlight of(String target) {
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
        return new InFlight(known, urgent, all);
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
        // A request that was routed just before the mark may be counted just after it, so a target is listed only from
        // the second round on: saying "nothing in flight" in between would let an order cut that request.
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

    /** What has not changed is said again only often enough to stay young: every instance passes it on. */
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

    private synchronized void onItem(PeerItem item) {
        try {
            DrainReport report = MAPPER.readValue(item.payload().toByteArray(), DrainReport.class);
            // Age is what matters: a report that wandered for long says nothing of now.
            receivedReports.put(item.origin(), new ReceivedReport(report, time.monotonicMillis() - item.ageMillis()));
        } catch (IOException | IllegalArgumentException e) {
            // What cannot be read says nothing; the target then counts as busy.
            receivedReports.remove(item.origin());
        }
    }

    private static Bytes encode(DrainReport report) {
        try {
            return Bytes.of(MAPPER.writeValueAsBytes(report));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a drain report is always writable", e);
        }
    }

    private record ReceivedReport(DrainReport report, long createdMillis) {}
}
