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
    private static final long PUBLISH_MILLIS = 500;
    private static final long REPEAT_MILLIS = 2_000;
    private static final long KEEP_MILLIS = 8_000;

    private final PeerBus board;
    private final Function<String, DrainReport.Line> own;
    private final Supplier<Set<String>> outOfService;
    private final Supplier<Set<String>> others;
    private final TimeSource time;
    private final Map<String, Heard> heardByInstance = new HashMap<>();
    private Set<String> lastRound = Set.of();
    private DrainReport lastReport = new DrainReport(List.of());
    private long publishedMillis;
    private boolean running;

    /**
     * Creates the exchange and subscribes.
     *
     * @param board carries the reports, not null
     * @param own counts this instance's work on a target, not null
     * @param outOfService the targets that this instance sends nothing new to, not null
     * @param others the names of the other instances, leaving ones too, not null
     * @param time gives the time and runs the timers, not null
     */
    public DrainExchange(
            PeerBus board,
            Function<String, DrainReport.Line> own,
            Supplier<Set<String>> outOfService,
            Supplier<Set<String>> others,
            TimeSource time) {
        this.board = Objects.requireNonNull(board, "board");
        this.own = Objects.requireNonNull(own, "own");
        this.outOfService = Objects.requireNonNull(outOfService, "outOfService");
        this.others = Objects.requireNonNull(others, "others");
        this.time = Objects.requireNonNull(time, "time");
        board.subscribe(PeerTopic.DRAIN, this::onItem);
    }

    /** Begins to publish; a second call has no effect. */
    public synchronized void start() {
        if (!running) {
            running = true;
            time.schedule(PUBLISH_MILLIS, this::publish);
        }
    }

    /** Stops publishing. */
    public synchronized void stop() {
        running = false;
    }

    @Override
    public RequestsInFlight requestsInFlight(String target) {
        DrainReport.Line ownLine = own.apply(target);
        int urgent = ownLine.urgent();
        int all = ownLine.all();
        boolean known = true;
        for (String other : others.get()) {
            Optional<DrainReport.Line> line = heard(other, target);
            known &= line.isPresent();
            urgent += line.map(DrainReport.Line::urgent).orElse(0);
            all += line.map(DrainReport.Line::all).orElse(0);
        }
        return new RequestsInFlight(known, urgent, all);
    }

    private synchronized Optional<DrainReport.Line> heard(String instance, String target) {
        Heard heard = heardByInstance.get(instance);
        if (heard == null || time.monotonicMillis() - heard.saidMillis() > KEEP_MILLIS) {
            return Optional.empty();
        }
        return heard.report().lines().stream()
                .filter(line -> line.target().equals(target))
                .findFirst();
    }

    private void publish() {
        Set<String> now = Set.copyOf(outOfService.get());
        Set<String> before;
        synchronized (this) {
            if (!running) {
                return;
            }
            before = lastRound;
            lastRound = now;
        }
        // A request that was routed just before the mark may be counted just after it, so a target is listed only from
        // the second round on: saying "nothing in flight" in between would let an order cut that request.
        DrainReport report = new DrainReport(
                now.stream().filter(before::contains).sorted().map(own).toList());
        if (isNews(report)) {
            board.publish(PeerTopic.DRAIN, KEY, encode(report), KEEP_MILLIS);
        }
        time.schedule(PUBLISH_MILLIS, this::publish);
    }

    /** What has not changed is said again only often enough to stay young: every instance passes it on. */
    private synchronized boolean isNews(DrainReport report) {
        long nowMillis = time.monotonicMillis();
        boolean news = !report.equals(lastReport) || nowMillis - publishedMillis >= REPEAT_MILLIS;
        if (report.lines().isEmpty() || !news) {
            return false;
        }
        lastReport = report;
        publishedMillis = nowMillis;
        return true;
    }

    private synchronized void onItem(PeerUpdate item) {
        try {
            DrainReport report = MAPPER.readValue(item.payload().toByteArray(), DrainReport.class);
            // Age is what matters: a report that wandered for long says nothing of now.
            heardByInstance.put(item.origin(), new Heard(report, time.monotonicMillis() - item.ageMillis()));
        } catch (IOException | IllegalArgumentException e) {
            // What cannot be read says nothing; the target then counts as busy.
            heardByInstance.remove(item.origin());
        }
    }

    private static Bytes encode(DrainReport report) {
        try {
            return Bytes.of(MAPPER.writeValueAsBytes(report));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a drain report is always writable", e);
        }
    }

    private record Heard(DrainReport report, long saidMillis) {}
}
