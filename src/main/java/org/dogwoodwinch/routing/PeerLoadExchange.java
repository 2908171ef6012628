package org.dogwoodwinch.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.dogwoodwinch.peer.PeerBoard;
import org.dogwoodwinch.peer.PeerItem;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.time.TimeSource;

/**
 * Tells the peers what this instance sent to targets, and counts what they say they sent.
 *
 * <p>Without it, six instances with one stale report each see the same idle target and send to it together.
 */
public final class PeerLoadExchange {

    private static final String KEY = "sent";
    private static final int MOST_TARGETS = 32;
    private static final long RECENT_MILLIS = 10_000;
    private static final long KEEP_MILLIS = 15_000;

    private final FleetView fleet;
    private final PeerBoard board;
    private final TimeSource time;
    private final long incarnation;
    private final long intervalMillis;
    private final Map<String, PeerTotals> peers = new HashMap<>();

    /**
     * Creates an exchange; {@link #start()} sets it going.
     *
     * @param fleet what is believed of the targets, not null
     * @param board the notice board, not null
     * @param time the clock, not null
     * @param incarnation a number that differs after a restart of this instance
     * @param intervalMillis the time between publications, in milliseconds, more than zero
     */
    public PeerLoadExchange(FleetView fleet, PeerBoard board, TimeSource time, long incarnation, long intervalMillis) {
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.board = Objects.requireNonNull(board, "board");
        this.time = Objects.requireNonNull(time, "time");
        this.incarnation = incarnation;
        this.intervalMillis = intervalMillis;
    }

    /** Subscribes, and publishes from now on. */
    public void start() {
        board.subscribe(PeerTopic.LOAD, this::onItem);
        time.schedule(intervalMillis, this::publishAndRepeat);
    }

    private void publishAndRepeat() {
        board.publish(PeerTopic.LOAD, KEY, PeerLoadCodec.encode(ownLoad()), KEEP_MILLIS);
        time.schedule(intervalMillis, this::publishAndRepeat);
    }

    /** The targets sent to of late, the latest first, so that the message stays small at any fleet's size. */
    private PeerLoad ownLoad() {
        synchronized (fleet) {
            long since = time.wallMillis() - RECENT_MILLIS;
            List<SentTotals> totals = fleet.states().stream()
                    .filter(state -> state.lastSentMillis() > since || state.outstandingRequests() > 0)
                    .sorted(Comparator.comparingLong(TargetState::lastSentMillis)
                            .reversed()
                            .thenComparing(state -> state.target().name()))
                    .limit(MOST_TARGETS)
                    .map(PeerLoadExchange::totalsOf)
                    .toList();
            return new PeerLoad(incarnation, totals);
        }
    }

    private static SentTotals totalsOf(TargetState state) {
        return new SentTotals(
                state.target().name(),
                state.sentPrefillTokens(),
                state.sentDecodeTokens(),
                state.sentRequests(),
                state.outstandingUrgent(),
                state.outstandingRequests(),
                state.outstandingPrefillTokens(),
                state.outstandingDecodeTokens());
    }

    private void onItem(PeerItem item) {
        if (item.key().equals(KEY)) {
            PeerLoadCodec.decode(item.payload()).ifPresent(load -> take(item, load));
        }
    }

    private void take(PeerItem item, PeerLoad load) {
        synchronized (fleet) {
            fleet.hearing().heard(time.wallMillis());
            PeerTotals known = peers.get(item.origin());
            if (known == null || known.incarnation() != load.incarnation()) {
                // The first word of a peer brings its whole history, of which nothing is new.
                known = new PeerTotals(load.incarnation());
                known.replace(load.targets());
                peers.put(item.origin(), known);
            }
            long sentMillis = time.wallMillis() - item.ageMillis() - intervalMillis / 2;
            for (SentTotals totals : load.targets()) {
                addDifference(totals, known.last(totals.target()), sentMillis);
            }
            known.busyTargets().forEach(target -> forgetFlight(item.origin(), target));
            known.replace(load.targets());
            load.targets().forEach(totals -> setFlight(item.origin(), totals));
        }
    }

    private void addDifference(SentTotals totals, SentTotals before, long sentMillis) {
        fleet.state(totals.target())
                .ifPresent(state -> state.peerSends()
                        .add(
                                sentMillis,
                                totals.prefillTokens() - before.prefillTokens(),
                                totals.decodeTokens() - before.decodeTokens(),
                                (int) (totals.requests() - before.requests())));
    }

    private void setFlight(String origin, SentTotals totals) {
        fleet.state(totals.target()).ifPresent(state -> state.peerFlights().put(origin, totals, time.wallMillis()));
    }

    private void forgetFlight(String origin, String target) {
        fleet.state(target).ifPresent(state -> state.peerFlights().remove(origin));
    }
}
