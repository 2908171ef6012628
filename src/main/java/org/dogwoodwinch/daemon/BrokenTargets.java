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
    private static final int HEARERS_PAUSES = 2;

    /** Beside that, up to as long again by chance: hearers whose pauses end at once would all try at once. */
    private static final int SPREAD_PAUSES = 2;

    private static final long KEEP_MILLIS = 5_000;
    private static final int FIELDS = 2;

    private final String ownName;
    private final RelayExchange exchange;
    private final TargetHealth health;
    private final ToLongFunction<String> bornMillis;
    private final UniformRandomProvider random;
    private final Set<String> believedBroken = new HashSet<>();
    private final Set<String> probedFromHere = new HashSet<>();

    BrokenTargets(
            String ownName,
            RelayExchange exchange,
            TargetHealth health,
            ToLongFunction<String> bornMillis,
            UniformRandomProvider random) {
        this.ownName = Objects.requireNonNull(ownName, "ownName");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.health = Objects.requireNonNull(health, "health");
        this.bornMillis = Objects.requireNonNull(bornMillis, "bornMillis");
        this.random = Objects.requireNonNull(random, "random");
    }

    /** Hears from now on. */
    void start() {
        exchange.subscribe(PeerTopic.BROKEN_TARGET, this::heard);
    }

    @Override
    public long brokeOff(String targetId) {
        boolean news = !health.isEjected(targetId);
        long pauseMillis = health.recordBrokenConnection(targetId);
        if (news && pauseMillis > 0) {
            believedBroken.add(targetId);
            probedFromHere.add(targetId);
            tell(targetId, pauseMillis);
        }
        return pauseMillis;
    }

    /** After a pause that was a probe, and its outcome is told; within one the answer is to a call from before it. */
    @Override
    public void answered(String targetId) {
        health.recordAnswer(targetId);
        if (!health.isEjected(targetId) && believedBroken.remove(targetId)) {
            probedFromHere.remove(targetId);
            tell(targetId, 0);
        }
    }

    @Override
    public void forget(String targetId) {
        believedBroken.remove(targetId);
        probedFromHere.remove(targetId);
        health.remove(targetId);
    }

    private void tell(String targetId, long pauseMillis) {
        exchange.publish(
                PeerTopic.BROKEN_TARGET,
                targetId,
                Packing.pack(pauseMillis, (packer, millis) -> {
                    packer.packArrayHeader(FIELDS);
                    packer.packLong(bornMillis.applyAsLong(targetId));
                    packer.packLong(millis);
                }),
                KEEP_MILLIS);
    }

    private void heard(PeerUpdate item) {
        try {
            Word word = Packing.unpack(item.payload().toByteArray(), unpacker -> {
                Packing.expectFields(unpacker, FIELDS);
                return new Word(unpacker.unpackLong(), unpacker.unpackLong());
            });
            if (word.bornMillis == bornMillis.applyAsLong(item.key())) {
                apply(item, word.pauseMillis);
            }
        } catch (IOException e) {
            LogEvent.of("broken_target_not_understood")
                    .with("peer", item.origin())
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }

    private void apply(PeerUpdate item, long pauseMillis) {
        String targetId = item.key();
        if (pauseMillis <= 0) {
            probedFromHere.remove(targetId);
            health.recordPeerRecovery(targetId);
            if (believedBroken.remove(targetId)) {
                log(item, 0);
            }
        } else if (!probedFromHere.contains(targetId) || item.origin().compareTo(ownName) < 0) {
            boolean news = believedBroken.add(targetId);
            probedFromHere.remove(targetId);
            double pauses = HEARERS_PAUSES + SPREAD_PAUSES * random.nextDouble();
            long leftAloneMillis = Math.round(pauses * pauseMillis) - item.ageMillis();
            health.recordPeerEjection(targetId, pauseMillis, leftAloneMillis);
            if (news) {
                log(item, leftAloneMillis);
            }
        }
    }

    private static void log(PeerUpdate item, long pauseMillis) {
        LogEvent.of("broken_target_heard")
                .with("target", item.key())
                .with("pauseMillis", pauseMillis)
                .with("peer", item.origin())
                .info(log);
    }

    private record Word(long bornMillis, long pauseMillis) {}
}
