package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.HashSet;
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
import org.dogwoodwinch.relay.BreakOffs;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Lets all instances leave a target alone that breaks off the calls of one.
 *
 * <p>Load: many instances before many targets. Each sends a given target a call in some seconds, so each would find out for
 * itself by a call that fails, again after each pause, and the fleet would lose as many calls as it has instances.
 *
 * <p>Only what the target itself did is told: that it ended a connection, not that it was silent, which the links of the
 * instance that tells may be the cause of. Who was told waits longer than who found out, so that the next probe is made by
 * one and its outcome, told again, is there before the others probe. Of several that found out, the first by name probes.
 */
final class BrokenTargets implements BreakOffs {

    private static final Logger log = LoggerFactory.getLogger(BrokenTargets.class);

    /** A word goes by two relays, a round each; a probe and its word take less than the pause once more. */
    private static final int PEER_EJECTION_FACTOR = 2;

    /** Beside that, up to as long again by chance: hearers whose pauses end at once would all try at once. */
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

    /** Hears from now on. */
    void start() {
        exchange.subscribe(PeerTopic.BROKEN_TARGET, this::onUpdate);
    }

    @Override
    public long brokeOff(String targetId) {
        boolean newlyEjected = !health.isEjected(targetId);
        long ejectionMillis = health.recordBrokenConnection(targetId);
        if (newlyEjected && ejectionMillis > 0) {
            ejectedTargets.add(targetId);
            probedTargets.add(targetId);
            publish(targetId, ejectionMillis);
        }
        return ejectionMillis;
    }

    /** After a pause that was a probe, and its outcome is told; within one the answer is to a call from before it. */
    @Override
    public void answered(String targetId) {
        health.recordAnswer(targetId);
        if (!health.isEjected(targetId) && ejectedTargets.remove(targetId)) {
            probedTargets.remove(targetId);
            publish(targetId, 0);
        }
    }

    @Override
    public void forget(String targetId) {
        ejectedTargets.remove(targetId);
        probedTargets.remove(targetId);
        health.remove(targetId);
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
            health.recordPeerRecovery(targetId);
            if (ejectedTargets.remove(targetId)) {
                log(update, 0);
            }
        } else if (!probedTargets.contains(targetId) || update.origin().compareTo(ownName) < 0) {
            boolean newlyEjected = ejectedTargets.add(targetId);
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
