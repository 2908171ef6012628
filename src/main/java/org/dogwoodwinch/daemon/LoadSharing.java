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
 * Exchanges with the other instances the load of calls in progress at targets.
 *
 * <p>Failure: without it, each of several instances considers an engine idle to which the others have just sent calls,
 * and sends its calls there too.
 *
 * <p>In a large fleet an instance sends its load to its relay only, and receives from it the sum over all instances. It
 * subtracts its own report, which it finds by the sequence number included in the sum: if its calls were counted twice,
 * it would avoid the engines that it has just chosen.
 */
final class LoadSharing {

    private static final Logger log = LoggerFactory.getLogger(LoadSharing.class);
    private static final String INSTANCE_KEY = "flight";
    private static final String DATA_CENTRE_PREFIX = "centre ";
    private static final String FLEET_SOURCE = "fleet";

    /** Rounds without a report after which an instance's loads are no longer counted. */
    private static final int RETENTION_ROUNDS = 10;

    /** Own reports that are stored: more than can be in transit to the relay and back. */
    private static final int MAX_OWN_REPORTS = 20;

    private final LoadTracker loads;
    private final RelayExchange exchange;
    private final TimeSource time;
    private final String ownName;
    private final String dataCentre;
    private final long roundMillis;
    private final Map<String, Long> receivedAtMillis = new HashMap<>();
    private final Map<String, LoadReport> instanceReports = new HashMap<>();
    private final Map<String, Map<String, TargetLoad>> dataCentreLoads = new HashMap<>();
    private final Deque<LoadReport> ownReports = new ArrayDeque<>();
    private long nextNumber = 1;
    private boolean publishedIdle;
    private boolean publishedEmptyDataCentre;
    private boolean publishedEmptyFleet;

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

    /** Starts to send and receive loads. */
    void start() {
        exchange.subscribe(PeerTopic.LOAD, this::onInstanceLoad);
        exchange.subscribe(PeerTopic.CENTRE_LOAD, this::onDataCentreLoad);
        exchange.subscribe(PeerTopic.FLEET_LOAD, this::onFleetLoad);
        exchange.beforeEachRound(this::publishRound);
    }

    private void publishRound() {
        long oldestMillis = time.monotonicMillis() - RETENTION_ROUNDS * roundMillis;
        receivedAtMillis.values().removeIf(atMillis -> atMillis < oldestMillis);
        instanceReports.keySet().retainAll(receivedAtMillis.keySet());
        dataCentreLoads.keySet().retainAll(receivedAtMillis.keySet());
        loads.retainPeers(new HashSet<>(receivedAtMillis.keySet()));
        Map<String, TargetLoad> own = loads.ownLoads();
        if (exchange.usesRelays() && exchange.isRelay()) {
            publishSums(own);
        } else if (!own.isEmpty() || !publishedIdle) {
            // An idle instance publishes its empty load once.
            publishOwn(own);
        }
        publishedIdle = own.isEmpty();
    }

    private void publishOwn(Map<String, TargetLoad> own) {
        LoadReport report = new LoadReport(nextNumber++, own, Map.of());
        ownReports.addLast(report);
        if (ownReports.size() > MAX_OWN_REPORTS) {
            ownReports.removeFirst();
        }
        exchange.publish(PeerTopic.LOAD, INSTANCE_KEY, report.encode(), RETENTION_ROUNDS * roundMillis);
    }

    /**
     * Publishes the sums with the relay's heartbeat, because every message costs each receiving instance of the data
     * centre the same. An empty sum is published once; receivers discard a sum that is not repeated.
     */
    private void publishSums(Map<String, TargetLoad> own) {
        if (!exchange.isHeartbeatRound()) {
            return;
        }
        Map<String, TargetLoad> sum = new HashMap<>(own);
        Map<String, Long> includedReports = new HashMap<>();
        instanceReports.forEach((origin, report) -> {
            includedReports.put(origin, report.sequenceNumber());
            report.loads().forEach((id, load) -> sum.merge(id, load, TargetLoad::plus));
        });
        long ttlMillis = RETENTION_ROUNDS * roundMillis;
        if (!sum.isEmpty() || !publishedEmptyDataCentre) {
            exchange.publish(
                    PeerTopic.CENTRE_LOAD, dataCentre, new LoadReport(nextNumber++, sum, Map.of()).encode(), ttlMillis);
        }
        publishedEmptyDataCentre = sum.isEmpty();
        dataCentreLoads.values().forEach(loads -> loads.forEach((id, load) -> sum.merge(id, load, TargetLoad::plus)));
        if (!sum.isEmpty() || !publishedEmptyFleet) {
            exchange.publish(
                    PeerTopic.FLEET_LOAD,
                    dataCentre,
                    new LoadReport(nextNumber++, sum, includedReports).encode(),
                    ttlMillis);
        }
        publishedEmptyFleet = sum.isEmpty();
    }

    private void onInstanceLoad(PeerUpdate update) {
        decode(update).ifPresent(report -> {
            instanceReports.put(update.origin(), report);
            receivedAtMillis.remove(FLEET_SOURCE);
            replaceLoads(update.origin(), report.loads());
        });
    }

    /** Only relays receive these; the loads expire at an instance that is no longer a relay. */
    private void onDataCentreLoad(PeerUpdate update) {
        decode(update).ifPresent(report -> {
            dataCentreLoads.put(DATA_CENTRE_PREFIX + update.key(), report.loads());
            replaceLoads(DATA_CENTRE_PREFIX + update.key(), report.loads());
        });
    }

    private void onFleetLoad(PeerUpdate update) {
        if (exchange.isRelay() || !exchange.isPredecessor(update.origin())) {
            return;
        }
        decode(update).ifPresent(report -> {
            // The sum includes the individual loads, which would otherwise be counted twice.
            receivedAtMillis.clear();
            instanceReports.clear();
            dataCentreLoads.clear();
            replaceLoads(FLEET_SOURCE, subtractOwn(report));
        });
    }

    private Map<String, TargetLoad> subtractOwn(LoadReport sum) {
        Long ownNumber = sum.includedReports().get(ownName);
        Optional<LoadReport> own = ownReports.stream()
                .filter(report -> ownNumber != null && report.sequenceNumber() == ownNumber)
                .findFirst();
        if (own.isEmpty()) {
            return sum.loads();
        }
        Map<String, TargetLoad> others = new HashMap<>(sum.loads());
        own.get().loads().forEach((id, load) -> others.computeIfPresent(id, (_id, total) -> total.minus(load)));
        return others;
    }

    private void replaceLoads(String source, Map<String, TargetLoad> sourceLoads) {
        loads.replacePeerLoads(source, sourceLoads);
        receivedAtMillis.put(source, time.monotonicMillis());
    }

    private static Optional<LoadReport> decode(PeerUpdate update) {
        try {
            return Optional.of(LoadReport.decode(update.payload()));
        } catch (IOException e) {
            LogEvent.of("peer_loads_not_understood")
                    .with("peer", update.origin())
                    .with("error", e.getMessage())
                    .warn(log);
            return Optional.empty();
        }
    }
}
