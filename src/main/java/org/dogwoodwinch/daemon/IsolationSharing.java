package org.dogwoodwinch.daemon;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import org.dogwoodwinch.bytes.Packing;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.peer.RelayExchange;
import org.dogwoodwinch.time.TimeSource;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tells the other instances that this one is cut off from all targets, so that no instance passes calls on to it, and
 * another one watches the engines that were assigned to it.
 *
 * <p>Load: half of a large fleet is cut off at once, and each of these instances tells all others. The statement is
 * therefore repeated only often enough that a lost one does not matter for long.
 */
final class IsolationSharing {

    private static final Logger log = LoggerFactory.getLogger(IsolationSharing.class);
    private static final String KEY = "targets";
    private static final long REPEAT_MILLIS = 2_000;

    /** Two repetitions may be lost. */
    private static final long TTL_MILLIS = 5_000;

    private final String ownName;
    private final RelayExchange exchange;
    private final TimeSource time;
    private final Consumer<String> onPeerIsolated;
    private final Map<String, Long> isolatedUntilMillis = new HashMap<>();
    private boolean isolated;
    private long nextRepeatMillis;

    /**
     * Creates an object that tells and hears nothing before {@link #start}.
     *
     * @param ownName the name of this instance, not null
     * @param exchange the bus between the instances, not null
     * @param time the clock, not null
     * @param onPeerIsolated told the name of each instance that turns out to be cut off, not null
     */
    IsolationSharing(String ownName, RelayExchange exchange, TimeSource time, Consumer<String> onPeerIsolated) {
        this.onPeerIsolated = Objects.requireNonNull(onPeerIsolated, "onPeerIsolated");
        this.ownName = Objects.requireNonNull(ownName, "ownName");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Starts to send and receive statements. */
    void start() {
        exchange.subscribe(PeerTopic.TARGETS_CUT_OFF, this::onUpdate);
        exchange.beforeEachRound(() -> {
            exchange.updateUnableInstances(unableNames());
            if (isolated && time.monotonicMillis() >= nextRepeatMillis) {
                publish();
            }
        });
    }

    /**
     * Tells the other instances whether this one is cut off.
     *
     * @param nowIsolated whether it is
     */
    void set(boolean nowIsolated) {
        isolated = nowIsolated;
        publish();
    }

    /** Returns the names of the other instances that are cut off from all targets. */
    Set<String> isolatedNames() {
        long nowMillis = time.monotonicMillis();
        isolatedUntilMillis.values().removeIf(untilMillis -> untilMillis <= nowMillis);
        return Set.copyOf(isolatedUntilMillis.keySet());
    }

    /** Returns the names of the instances that reach no engine, and so can watch none for the others. */
    private Set<String> unableNames() {
        Set<String> names = isolatedNames();
        if (!isolated) {
            return names;
        }
        Set<String> withOwn = new HashSet<>(names);
        withOwn.add(ownName);
        return withOwn;
    }

    private void publish() {
        nextRepeatMillis = time.monotonicMillis() + REPEAT_MILLIS;
        exchange.publish(
                PeerTopic.TARGETS_CUT_OFF, KEY, Packing.pack(isolated, MessagePacker::packBoolean), TTL_MILLIS);
    }

    private void onUpdate(PeerUpdate update) {
        try {
            boolean isIsolated = Packing.unpack(update.payload().toByteArray(), MessageUnpacker::unpackBoolean);
            boolean wasIsolated = isolatedUntilMillis.containsKey(update.origin());
            if (isIsolated) {
                isolatedUntilMillis.put(update.origin(), time.monotonicMillis() + TTL_MILLIS - update.ageMillis());
            } else {
                isolatedUntilMillis.remove(update.origin());
            }
            if (isIsolated && !wasIsolated) {
                onPeerIsolated.accept(update.origin());
            }
            if (isIsolated != wasIsolated) {
                LogEvent.of("instance_cut_off_heard")
                        .with("peer", update.origin())
                        .with("isolated", isIsolated)
                        .with("ageMillis", update.ageMillis())
                        .info(log);
            }
        } catch (IOException e) {
            LogEvent.of("instance_cut_off_not_understood")
                    .with("peer", update.origin())
                    .with("error", e.getMessage())
                    .warn(log);
        }
    }
}
