package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.LoadTracker;
import org.dogwoodwinch.forwarding.TargetLoad;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.peer.RelayExchange;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells the other instances what this one has under way at targets, and takes their word.
 *
 * <p>Without it each of several instances sees an idle engine where the others have just sent, and sends there too. In a
 * large fleet an instance tells its relay alone, and hears from it the sum over each data centre, from which it takes
 * its own part by the number of its word that the sum contains: counted twice, its own calls would drive it away from
 * the engines that it just chose.
 */
final class LoadSharing {

    private static final Logger log = LoggerFactory.getLogger(LoadSharing.class);
    private static final String KEY = "flight";
    private static final String CENTRE_PREFIX = "centre ";
    private static final String FLEET = "fleet";

    /** Rounds without a word after which an instance's loads are no longer counted. */
    private static final int KEPT_ROUNDS = 10;

    /** Own words that are remembered: more than are under way to the relay and back. */
    private static final int REMEMBERED_WORDS = 20;

    private final LoadTracker loads;
    private final RelayExchange exchange;
    private final TimeSource time;
    private final String ownName;
    private final String dataCentre;
    private final long roundMillis;
    private final Map<String, Long> heardAtMillis = new HashMap<>();
    private final Map<String, LoadReport> heardWords = new HashMap<>();
    private final Map<String, Map<String, TargetLoad>> heardCentres = new HashMap<>();
    private final Deque<LoadReport> ownWords = new ArrayDeque<>();
    private long nextNumber = 1;
    private boolean toldNothing;
    private boolean toldEmptyCentre;
    private boolean toldEmptyFleet;

    LoadSharing(
            LoadTracker loads,
            RelayExchange exchange,
            TimeSource time,
            String ownName,
            String dataCentre,
            long roundMillis) {
        this.loads = Objects.requireNonNull(loads, "loads");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.time = Objects.requireNonNull(time, "time");
        this.ownName = Objects.requireNonNull(ownName, "ownName");
        this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
        this.roundMillis = roundMillis;
    }

    /** Tells and hears from now on. */
    void start() {
        exchange.subscribe(PeerTopic.LOAD, this::heard);
        exchange.subscribe(PeerTopic.CENTRE_LOAD, this::heardCentre);
        exchange.subscribe(PeerTopic.FLEET_LOAD, this::heardFleet);
        exchange.beforeEachRound(this::round);
    }

    private void round() {
        long oldestMillis = time.monotonicMillis() - KEPT_ROUNDS * roundMillis;
        heardAtMillis.values().removeIf(atMillis -> atMillis < oldestMillis);
        heardWords.keySet().retainAll(heardAtMillis.keySet());
        heardCentres.keySet().retainAll(heardAtMillis.keySet());
        loads.retainPeers(new HashSet<>(heardAtMillis.keySet()));
        Map<String, TargetLoad> own = loads.ownLoads();
        if (exchange.usesRelays() && exchange.isRelay()) {
            tellSum(own);
        } else if (!own.isEmpty() || !toldNothing) {
            // An idle instance says so once.
            tellOwn(own);
        }
        toldNothing = own.isEmpty();
    }

    private void tellOwn(Map<String, TargetLoad> own) {
        LoadReport word = new LoadReport(nextNumber++, own, Map.of());
        ownWords.addLast(word);
        if (ownWords.size() > REMEMBERED_WORDS) {
            ownWords.removeFirst();
        }
        exchange.publish(PeerTopic.LOAD, KEY, word.encode(), KEPT_ROUNDS * roundMillis);
    }

    /**
     * Together with the relay's sign of life: each message is read by all instances of the data centre, and costs each of
     * them the same. That nothing is under way is told once; what is not told again is forgotten.
     */
    private void tellSum(Map<String, TargetLoad> own) {
        if (!exchange.isHeartbeatRound()) {
            return;
        }
        Map<String, TargetLoad> sum = new HashMap<>(own);
        Map<String, Long> contained = new HashMap<>();
        heardWords.forEach((origin, word) -> {
            contained.put(origin, word.number());
            word.loads().forEach((id, load) -> sum.merge(id, load, TargetLoad::plus));
        });
        long keepMillis = KEPT_ROUNDS * roundMillis;
        if (!sum.isEmpty() || !toldEmptyCentre) {
            exchange.publish(
                    PeerTopic.CENTRE_LOAD,
                    dataCentre,
                    new LoadReport(nextNumber++, sum, Map.of()).encode(),
                    keepMillis);
        }
        toldEmptyCentre = sum.isEmpty();
        heardCentres.values().forEach(loads -> loads.forEach((id, load) -> sum.merge(id, load, TargetLoad::plus)));
        if (!sum.isEmpty() || !toldEmptyFleet) {
            exchange.publish(
                    PeerTopic.FLEET_LOAD,
                    dataCentre,
                    new LoadReport(nextNumber++, sum, contained).encode(),
                    keepMillis);
        }
        toldEmptyFleet = sum.isEmpty();
    }

    private void heard(PeerUpdate item) {
        decode(item).ifPresent(word -> {
            heardWords.put(item.origin(), word);
            heardAtMillis.remove(FLEET);
            heardFrom(item.origin(), word.loads());
        });
    }

    /** Between relays; whoever is none any more hears no more of them, and forgets what it heard. */
    private void heardCentre(PeerUpdate item) {
        decode(item).ifPresent(word -> {
            heardCentres.put(CENTRE_PREFIX + item.key(), word.loads());
            heardFrom(CENTRE_PREFIX + item.key(), word.loads());
        });
    }

    private void heardFleet(PeerUpdate item) {
        if (exchange.isRelay() || !exchange.isPredecessor(item.origin())) {
            return;
        }
        decode(item).ifPresent(word -> {
            // The sum has them; each by itself would count twice.
            heardAtMillis.clear();
            heardWords.clear();
            heardCentres.clear();
            heardFrom(FLEET, withoutOwn(word));
        });
    }

    private Map<String, TargetLoad> withoutOwn(LoadReport sum) {
        Long number = sum.contained().get(ownName);
        Optional<LoadReport> own = ownWords.stream()
                .filter(word -> number != null && word.number() == number)
                .findFirst();
        if (own.isEmpty()) {
            return sum.loads();
        }
        Map<String, TargetLoad> others = new HashMap<>(sum.loads());
        own.get().loads().forEach((id, load) -> others.computeIfPresent(id, (_id, whole) -> whole.minus(load)));
        return others;
    }

    private void heardFrom(String source, Map<String, TargetLoad> told) {
        loads.replacePeerLoads(source, told);
        heardAtMillis.put(source, time.monotonicMillis());
    }

    private static Optional<LoadReport> decode(PeerUpdate item) {
        try {
            return Optional.of(LoadReport.decode(item.payload()));
        } catch (IOException e) {
            LogEvent.of("peer_loads_not_understood")
                    .with("peer", item.origin())
                    .with("error", e.getMessage())
                    .warn(log);
            return Optional.empty();
        }
    }
}
