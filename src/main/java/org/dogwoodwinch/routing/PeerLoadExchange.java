package org.dogwoodwinch.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.time.TimeSource;

/**
 * Publishes the load that this instance sent to targets, and applies the load that its peers publish.
 *
 * <p>Without it, six instances that share a stale report all see the same idle target and send to it at once.
 */
public final class PeerLoadExchange {

    private static final String ITEM_KEY = "sent";
    private static final int MAX_TARGETS = 32;
    private static final long RECENT_SEND_MILLIS = 10_000;
    private static final long ITEM_TTL_MILLIS = 15_000;

    private final FleetView fleet;
    private final PeerBus board;
    private final TimeSource time;
    private final long incarnation;
    private final long intervalMillis;
    private final Map<String, PeerTotals> peers = new HashMap<>();

    /**
     * Creates an exchange, which does nothing until {@link #start()}.
     *
     * @param fleet the known state of all targets, not null
     * @param board the board for publication to peers, not null
     * @param time the clock, not null
     * @param incarnation a number that differs after a restart of this instance
     * @param intervalMillis the time between publications, in milliseconds, more than zero
     */
    public PeerLoadExchange(FleetView fleet, PeerBus board, TimeSource time, long incarnation, long intervalMillis) {
        this.fleet = Objects.requireNonNull(fleet, "fleet");
        this.board = Objects.requireNonNull(board, "board");
        this.time = Objects.requireNonNull(time, "time");
        this.incarnation = incarnation;
        this.intervalMillis = intervalMillis;
    }

    /** Subscribes to the load messages of peers and starts periodic publication. */
    public void start() {
        board.subscribe(PeerTopic.LOAD, this::onItem);
        time.schedule(intervalMillis, this::publishAndRepeat);
    }

    private void publishAndRepeat() {
        board.publish(PeerTopic.LOAD, ITEM_KEY, PeerLoadCodec.encode(localLoad()), ITEM_TTL_MILLIS);
        time.schedule(intervalMillis, this::publishAndRepeat);
    }

    /**
     * Returns the most recently used targets, the latest first; their number is limited so that the message stays small
     * regardless of the fleet's size.
     */
    private PeerLoad localLoad() {
        synchronized (fleet) {
            long sinceMillis = time.wallMillis() - RECENT_SEND_MILLIS;
            List<SentTotals> totals = fleet.states().stream()
                    .filter(state -> state.lastSentMillis() > sinceMillis || state.outstandingRequests() > 0)
                    .sorted(Comparator.comparingLong(TargetState::lastSentMillis)
                            .reversed()
                            .thenComparing(state -> state.target().name()))
                    .limit(MAX_TARGETS)
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
                state.outstandingUrgentRequests(),
                state.outstandingRequests(),
                state.outstandingPrefillTokens(),
                state.outstandingDecodeTokens());
    }

    private void onItem(PeerUpdate item) {
        if (item.key().equals(ITEM_KEY)) {
            PeerLoadCodec.decode(item.payload()).ifPresent(load -> applyPeerLoad(item, load));
        }
    }

    private void applyPeerLoad(PeerUpdate item, PeerLoad load) {
        synchronized (fleet) {
            fleet.peerContact().recordMessage(time.wallMillis());
            PeerTotals peerTotals = peers.get(item.origin());
            if (peerTotals == null || peerTotals.incarnation() != load.incarnation()) {
                // The first message of a peer, or of its new incarnation, carries totals of its whole lifetime; none of
                // it is counted as new.
                peerTotals = new PeerTotals(load.incarnation());
                peerTotals.update(load.targets());
                peers.put(item.origin(), peerTotals);
            }
            long sentMillis = time.wallMillis() - item.ageMillis() - intervalMillis / 2;
            for (SentTotals totals : load.targets()) {
                addSentSince(totals, peerTotals.lastTotals(totals.target()), sentMillis);
            }
            peerTotals.targetsInFlight().forEach(target -> removeInFlight(item.origin(), target));
            peerTotals.update(load.targets());
            load.targets().forEach(totals -> setInFlight(item.origin(), totals));
        }
    }

    private void addSentSince(SentTotals totals, SentTotals previous, long sentMillis) {
        fleet.state(totals.target())
                .ifPresent(state -> state.peerSends()
                        .add(
                                sentMillis,
                                totals.prefillTokens() - previous.prefillTokens(),
                                totals.decodeTokens() - previous.decodeTokens(),
                                (int) (totals.requests() - previous.requests())));
    }

    private void setInFlight(String origin, SentTotals totals) {
        fleet.state(totals.target()).ifPresent(state -> state.peerInFlight().put(origin, totals, time.wallMillis()));
    }

    private void removeInFlight(String origin, String target) {
        fleet.state(target).ifPresent(state -> state.peerInFlight().remove(origin));
    }
}
