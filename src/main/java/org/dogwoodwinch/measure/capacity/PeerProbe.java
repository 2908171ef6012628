package org.dogwoodwinch.measure.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.apache.commons.rng.simple.RandomSource;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.measure.MeasurementTable;
import org.dogwoodwinch.peer.GossipExchange;
import org.dogwoodwinch.peer.PeerMember;
import org.dogwoodwinch.peer.PeerObserver;
import org.dogwoodwinch.peer.PeerSettings;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.time.VirtualTimeSource;

/** Exchange between instances: bytes, messages, processor time and memory of a member, and how fast a word spreads. */
public final class PeerProbe implements CapacityProbe {

    private static final String ROLE = "peer exchange";
    private static final int[] MEMBERS = {6, 24, 96, 240};
    private static final int[] QUICK_MEMBERS = {6, 24, 96};
    private static final int DATA_CENTRES = 4;
    private static final long SETTLE_MILLIS = 10_000;
    private static final int MEASURED_SECONDS = 15;
    private static final int QUICK_SECONDS = 8;
    private static final long SPREAD_LIMIT_MILLIS = 60_000;
    private static final long STEP_MILLIS = 100;
    private static final int LOAD_BYTES = 200;
    private static final long LOAD_EVERY_MILLIS = 1_000;
    private static final long KEEP_MILLIS = 5_000;
    private static final double MOST_SPREAD_SECONDS = 5;

    @Override
    public CapacityFinding measure(boolean quick) {
        new Run(MEMBERS[1]).measure(1);
        List<Point> points = new ArrayList<>();
        for (int members : quick ? QUICK_MEMBERS : MEMBERS) {
            points.add(new Run(members).measure(quick ? QUICK_SECONDS : MEASURED_SECONDS));
        }
        return new CapacityFinding(List.of(table(points)), rows(points));
    }

    private static List<CapacityRow> rows(List<Point> points) {
        Point largest = points.get(points.size() - 1);
        LinearFit cpu = fit(points, Point::cpuShare);
        LinearFit memory = fit(points, Point::memoryBytes);
        double cpuAtSize = Math.max(largest.cpuShare(), cpu.at(TargetSize.NODES));
        double memoryAtSize = Math.max(largest.memoryBytes(), memory.at(TargetSize.NODES));
        double bytes = largest.sentBytes() + largest.receivedBytes();
        String where = " at " + largest.members() + " members";
        String how = largest.members() == TargetSize.NODES ? ", measured" : " by the line through the points, or more";
        double spread = largest.members() == TargetSize.NODES
                ? largest.spreadSeconds()
                : fit(points, Point::spreadSeconds).at(TargetSize.NODES);
        return List.of(
                new CapacityRow(
                        ROLE,
                        "bytes/s sent and received by a node",
                        Figures.bytes(bytes) + "/s" + where,
                        Figures.bytes(bytes) + "/s, held by the budget of the settings",
                        Figures.bytes(TargetSize.CONTROL_BYTES_PER_SECOND) + "/s for all control",
                        CapacityVerdict.atMost(bytes, TargetSize.CONTROL_BYTES_PER_SECOND),
                        "three members a round, deltas, a budget of bytes; news waits where it does not fit"),
                new CapacityRow(
                        ROLE,
                        "processor time of a node",
                        Figures.percent(largest.cpuShare()) + where,
                        Figures.percent(cpuAtSize) + how,
                        Figures.percent(TargetSize.CONTROL_CPU_SHARE) + " for all control",
                        CapacityVerdict.atMost(cpuAtSize, TargetSize.CONTROL_CPU_SHARE),
                        "messages bounded by the budget"),
                new CapacityRow(
                        ROLE,
                        "memory of a node",
                        Figures.bytes(largest.memoryBytes()) + where,
                        Figures.bytes(memoryAtSize) + how,
                        Figures.bytes(TargetSize.CONTROL_MEMORY_BYTES) + " for all control",
                        CapacityVerdict.atMost(memoryAtSize, TargetSize.CONTROL_MEMORY_BYTES),
                        "one item of each member, topic and key; items expire"),
                new CapacityRow(
                        ROLE,
                        "seconds until a quarantine is known to all",
                        Figures.number(largest.spreadSeconds()) + " s" + where,
                        Figures.number(spread) + " s" + how,
                        Figures.number(MOST_SPREAD_SECONDS) + " s, \"within seconds\"",
                        CapacityVerdict.atMost(spread, MOST_SPREAD_SECONDS),
                        "rounds double the number that knows; a full budget makes them queue"));
    }

    private static LinearFit fit(List<Point> points, ToDoubleFunction<Point> value) {
        return LinearFit.through(
                points.stream().mapToDouble(Point::members).toArray(),
                points.stream().mapToDouble(value).toArray());
    }

    private static MeasurementTable table(List<Point> points) {
        return new MeasurementTable(
                "Peer exchange by members (each tells a load of " + LOAD_BYTES
                        + " bytes a second; virtual time; the budget is that of the defaults)",
                List.of("members", "sent", "received", "messages sent/s", "core", "memory", "spread of a quarantine"),
                points.stream().map(Point::cells).toList());
    }

    private record Point(
            int members,
            double sentBytes,
            double receivedBytes,
            double messages,
            double cpuShare,
            double memoryBytes,
            double spreadSeconds) {

        List<String> cells() {
            return List.of(
                    Integer.toString(members),
                    Figures.bytes(sentBytes) + "/s",
                    Figures.bytes(receivedBytes) + "/s",
                    Figures.number(messages),
                    Figures.percent(cpuShare),
                    Figures.bytes(memoryBytes),
                    spreadSeconds * 1_000 >= SPREAD_LIMIT_MILLIS
                            ? "more than " + Figures.number(spreadSeconds) + " s"
                            : Figures.number(spreadSeconds) + " s");
        }
    }

    /** Members in one process on virtual time; messages arrive at once. */
    private static final class Run {

        private final VirtualTimeSource time = new VirtualTimeSource(1_700_000_000_000L);
        private final Map<String, GossipExchange> exchanges = new HashMap<>();
        private final List<PeerMember> members = new ArrayList<>();
        private final Set<String> informed = new HashSet<>();
        private final int count;
        private long sentBytes;
        private long receivedBytes;
        private long sentMessages;

        Run(int count) {
            this.count = count;
        }

        Point measure(int seconds) {
            double memoryBytes = HeapProbe.retainedBytes(() -> {
                        startAll();
                        time.advanceMillis(SETTLE_MILLIS);
                        return exchanges;
                    })
                    / (double) count;
            sentBytes = 0;
            receivedBytes = 0;
            sentMessages = 0;
            long cpuNanos = CpuClock.nanosOf(() -> time.advanceMillis(seconds * 1_000L));
            double nodeSeconds = (double) seconds * count;
            double sent = sentBytes / nodeSeconds;
            double received = receivedBytes / nodeSeconds;
            double messages = sentMessages / nodeSeconds;
            return new Point(
                    count, sent, received, messages, cpuNanos / 1e9 / nodeSeconds, memoryBytes, spreadMillis() / 1e3);
        }

        private void startAll() {
            for (int i = 0; i < count; i++) {
                members.add(new PeerMember("entry-" + i, "10.0.0.1", 8_000, "dc-" + i % DATA_CENTRES));
            }
            for (int i = 0; i < count; i++) {
                start(members.get(i), i);
            }
        }

        private void start(PeerMember member, int number) {
            PeerObserver observer = new PeerObserver() {
                @Override
                public void onSent(int messageBytes) {
                    sentBytes += messageBytes;
                    sentMessages++;
                }

                @Override
                public void onReceived(int messageBytes) {
                    receivedBytes += messageBytes;
                }
            };
            GossipExchange exchange = new GossipExchange(
                    PeerSettings.defaults(member.name(), member.dataCentre(), "secret"),
                    time,
                    RandomSource.XO_RO_SHI_RO_128_PP.create(number),
                    (to, message) ->
                            time.schedule(1, () -> exchanges.get(to.name()).receive(message)),
                    () -> members,
                    observer);
            exchanges.put(member.name(), exchange);
            exchange.subscribe(PeerTopic.QUARANTINE, _item -> informed.add(member.name()));
            // Members start at different moments, so that their rounds do not fall together.
            time.schedule(number * 7L % LOAD_EVERY_MILLIS, exchange::start);
            time.schedule(number * 11L % LOAD_EVERY_MILLIS, () -> tellLoad(exchange));
        }

        private void tellLoad(GossipExchange exchange) {
            exchange.publish(PeerTopic.LOAD, "load", Bytes.of(new byte[LOAD_BYTES]), KEEP_MILLIS);
            time.schedule(LOAD_EVERY_MILLIS, () -> tellLoad(exchange));
        }

        private long spreadMillis() {
            exchanges
                    .get("entry-0")
                    .publish(PeerTopic.QUARANTINE, "fingerprint", Bytes.of(new byte[16]), SPREAD_LIMIT_MILLIS * 10);
            long millis = 0;
            while (informed.size() < count - 1 && millis < SPREAD_LIMIT_MILLIS) {
                time.advanceMillis(STEP_MILLIS);
                millis += STEP_MILLIS;
            }
            return millis;
        }
    }
}
