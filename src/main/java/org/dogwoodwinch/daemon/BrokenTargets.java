package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.forwarding.TargetHealth;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.peer.RelayExchange;
import org.dogwoodwinch.relay.ConnectionAborts;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ejects a target in all instances when it breaks off the calls of one of them.
 *
 * <p>Load: many instances and many targets. Each instance sends a given target one call in some seconds, so each would
 * detect the failure by a failed call of its own, again after each ejection, and the fleet would lose as many calls as
 * it has instances.
 *
 * <p>Only actions of the target itself are published: that it closed a connection, not that it was silent, which may be
 * caused by the links of the publishing instance. Instances that received the ejection wait longer than the instance
 * that detected the failure, so that one instance sends the next probe and publishes the result before the others
 * probe. If several instances detected the failure, the first by name probes.
 */
final class BrokenTargets implements ConnectionAborts {

    private static final Logger log = LoggerFactory.getLogger(BrokenTargets.class);

    /** An update passes two relays, one round each; a probe and its update take less than one more ejection time. */
    private static final int PEER_EJECTION_FACTOR = 2;

    /**
     * Maximum random addition to the factor: instances whose ejections end at the same time would all probe at once.
     */
    private static final int PEER_EJECTION_JITTER = 2;

    private static final long TTL_MILLIS = 5_000;
    private static final int FIELD_COUNT = 2;

    private final String ownName;
    private final RelayExchange exchange;
    private final TargetHealth health;
    private final ToLongFunction<String> startedMillis;
    private final UniformRandomProvider random;
    private final Set<String> ejectedTargets = new HashSet<>();
    private final Set<String> probedTargets = new HashSet<>();
    private final Map<String, String> statingPeers = new HashMap<>();

    BrokenTargets(
            String ownName,
            RelayExchange exchange,
            TargetHealth health,
            ToLongFunction<String> startedMillis,
            UniformRandomProvider random) {
        this.ownName = Objects.requireNonNull(ownName, "ownName");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.health = Objects.requireNonNull(health, "health");
        this.startedMillis = Objects.requireNonNull(startedMillis, "startedMillis");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Starts to receive ejections. */
    void start() {
        exchange.subscribe(PeerTopic.BROKEN_TARGET, this::onUpdate);
    }

    @Override
    public long recordAbort(String targetId) {
        boolean newlyEjected = !health.isEjected(targetId);
        long ejectionMillis = health.recordBrokenConnection(targetId);
        if (newlyEjected && ejectionMillis > 0) {
            ejectedTargets.add(targetId);
            probedTargets.add(targetId);
            publish(targetId, ejectionMillis);
        }
        return ejectionMillis;
    }

    /**
     * Publishes the recovery if the ejection has ended, because the call was then a probe. During an ejection, the
     * answer belongs to a call that was sent before it.
     */
    @Override
    public void recordResponse(String targetId) {
        health.recordAnswer(targetId);
        if (!health.isEjected(targetId) && ejectedTargets.remove(targetId)) {
            probedTargets.remove(targetId);
            publish(targetId, 0);
        }
    }

    @Override
    public void removeTarget(String targetId) {
        ejectedTargets.remove(targetId);
        probedTargets.remove(targetId);
        statingPeers.remove(targetId);
        health.remove(targetId);
    }

    /**
     * Ends the ejections that an instance has caused, because it is cut off from all targets: its failures say nothing
     * about them.
     *
     * @param peer the name of the instance, not null
     */
    void forgetStatementsOf(String peer) {
        List<String> stated = statingPeers.entrySet().stream()
                .filter(each -> each.getValue().equals(peer))
                .map(Map.Entry::getKey)
                .toList();
        for (String targetId : stated) {
            statingPeers.remove(targetId);
            ejectedTargets.remove(targetId);
            health.recordPeerRecovery(targetId);
        }
    }

    private void publish(String targetId, long ejectionMillis) {
        exchange.publish(
                PeerTopic.BROKEN_TARGET,
                targetId,
                Packing.pack(ejectionMillis, (packer, millis) -> {
                    packer.packArrayHeader(FIELD_COUNT);
                    packer.packLong(startedMillis.applyAsLong(targetId));
                    packer.packLong(millis);
                }),
                TTL_MILLIS);
    }

    private void onUpdate(PeerUpdate update) {
        try {
            EjectionMessage message = Packing.unpack(update.payload().toByteArray(), unpacker -> {
                Packing.expectFields(unpacker, FIELD_COUNT);
                return new EjectionMessage(unpacker.unpackLong(), unpacker.unpackLong());
            });
            if (message.startedMillis == startedMillis.applyAsLong(update.key())) {
                apply(update, message.ejectionMillis);
            }
        } catch (IOException e) {
            LogEvent.of("broken_target_not_understood")
                    .with("peer", update.origin())
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }

    private void apply(PeerUpdate update, long ejectionMillis) {
        String targetId = update.key();
        if (ejectionMillis <= 0) {
            probedTargets.remove(targetId);
            statingPeers.remove(targetId);
            health.recordPeerRecovery(targetId);
            if (ejectedTargets.remove(targetId)) {
                log(update, 0);
            }
        } else if (!probedTargets.contains(targetId) || update.origin().compareTo(ownName) < 0) {
            boolean newlyEjected = ejectedTargets.add(targetId);
            statingPeers.put(targetId, update.origin());
            probedTargets.remove(targetId);
            double factor = PEER_EJECTION_FACTOR + PEER_EJECTION_JITTER * random.nextDouble();
            long peerEjectionMillis = Math.round(factor * ejectionMillis) - update.ageMillis();
            health.recordPeerEjection(targetId, ejectionMillis, peerEjectionMillis);
            if (newlyEjected) {
                log(update, peerEjectionMillis);
            }
        }
    }

    private static void log(PeerUpdate update, long ejectionMillis) {
        LogEvent.of("broken_target_heard")
                .with("target", update.key())
                .with("pauseMillis", ejectionMillis)
                .with("peer", update.origin())
                .info(log);
    }

    private record EjectionMessage(long startedMillis, long ejectionMillis) {}
}
