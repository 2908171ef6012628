package org.dogwoodwinch.peer;

import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Processes the messages that an instance of a fleet with relays receives: delivers their updates, forwards them if
 * this instance is a relay, and answers requests for state. Confined to one event loop.
 */
final class RelayMessageReceiver {

    private static final Logger log = LoggerFactory.getLogger(RelayMessageReceiver.class);

    private final PeerSettings settings;
    private final TimeSource time;
    private final PeerMessageReader reader;
    private final TransitTimes transitTimes;
    private final RelayTracker relayTracker;
    private final PeerEntryStore store;
    private final PeerOutbox outbox;
    private final StateSender stateSender;
    private final PeerSubscriptions subscriptions;

    /**
     * Creates a receiver.
     *
     * @param settings the names of this instance and its data centre, not null
     * @param time the clock, not null
     * @param reader decodes and checks messages, not null
     * @param transitTimes determines how long messages were in transit, not null
     * @param relayTracker is notified of messages and heartbeats, not null
     * @param store keeps the newest version of each entry, not null
     * @param outbox queues the entries to forward, not null
     * @param stateSender answers requests for state, not null
     * @param subscriptions gets the updates, not null
     */
    RelayMessageReceiver(
            PeerSettings settings,
            TimeSource time,
            PeerMessageReader reader,
            TransitTimes transitTimes,
            RelayTracker relayTracker,
            PeerEntryStore store,
            PeerOutbox outbox,
            StateSender stateSender,
            PeerSubscriptions subscriptions) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.time = Objects.requireNonNull(time, "time");
        this.reader = Objects.requireNonNull(reader, "reader");
        this.transitTimes = Objects.requireNonNull(transitTimes, "transitTimes");
        this.relayTracker = Objects.requireNonNull(relayTracker, "relayTracker");
        this.store = Objects.requireNonNull(store, "store");
        this.outbox = Objects.requireNonNull(outbox, "outbox");
        this.stateSender = Objects.requireNonNull(stateSender, "stateSender");
        this.subscriptions = Objects.requireNonNull(subscriptions, "subscriptions");
    }

    /**
     * Processes a message from the transport.
     *
     * @param received the encoded message, not null
     * @return whether it was accepted
     */
    boolean receive(Bytes received) {
        Optional<PeerMessage> message = reader.decode(received);
        return message.isPresent() && process(message.get());
    }

    private boolean process(PeerMessage message) {
        if (reader.isReplayed(message)) {
            return false;
        }
        relayTracker.onMessageFrom(message.sender(), message.startedMillis());
        transitTimes.recordArrival(message);
        Optional<RelayHeartbeat> heartbeat = heartbeatIn(message);
        OptionalLong transitMillis = transitTimes.measure(message, heartbeat);
        for (PeerEntry entry : message.items()) {
            accept(entry, transitMillis, message.sender(), heartbeat);
        }
        if (stateSender.isFirstStateRequest(message) && (relayTracker.isRelay() || !relayTracker.usesRelays())) {
            // The reply requests no state itself: two starting instances would send each other everything endlessly.
            relayTracker.findMember(message.sender()).ifPresent(stateSender::queueSnapshot);
            stateSender.sendPendingSnapshots();
        }
        return true;
    }

    /** Returns the sender's heartbeat as a relay with its clock offsets, if the message contains one. */
    private Optional<RelayHeartbeat> heartbeatIn(PeerMessage message) {
        for (PeerEntry entry : message.items()) {
            if (entry.topic().equals(PeerTopic.ALIVE.name()) && entry.origin().equals(message.sender())) {
                try {
                    return Optional.of(RelayHeartbeat.decode(entry.payload()));
                } catch (IOException e) {
                    LogEvent.of("alive_not_understood")
                            .with("peer", message.sender())
                            .with("error", e.getMessage())
                            .warn(log);
                }
            }
        }
        return Optional.empty();
    }

    private void accept(
            PeerEntry received, OptionalLong transitMillis, String sender, Optional<RelayHeartbeat> heartbeat) {
        PeerEntry entry = received.withAddedAge(transitMillis.orElse(0));
        Optional<PeerTopic> topic = PeerTopic.find(entry.topic());
        if (topic.isPresent() && topic.get() == PeerTopic.INSTANCE_LEAVES) {
            relayTracker.onLeave(entry.origin(), entry.startedMillis());
            return;
        }
        if (topic.isPresent() && TopicAudiences.isDirect(topic.get())) {
            deliver(
                    entry,
                    topic.get(),
                    transitMillis.isPresent() && entry.origin().equals(sender));
            return;
        }
        if (topic.isEmpty()
                || entry.origin().equals(settings.instance())
                // A late entry is old but still new to this instance; its age may stem from this instance's own link.
                || !store.add(received, time.monotonicMillis(), 0)) {
            return;
        }
        if (topic.get() == PeerTopic.ALIVE) {
            heartbeat.ifPresent(relayHeartbeat -> relayTracker.onHeartbeat(entry, relayHeartbeat, sender));
        }
        if (topic.get() == PeerTopic.WANT) {
            relayTracker.findMember(sender).ifPresent(stateSender::sendState);
            return;
        }
        if (relayTracker.isRelay() && relayTracker.usesRelays()) {
            forward(entry, topic.get(), sender);
        }
        deliver(entry, topic.get(), transitMillis.isPresent() && entry.origin().equals(sender));
    }

    private void deliver(PeerEntry entry, PeerTopic topic, boolean ageBounded) {
        subscriptions.deliver(new PeerUpdate(
                entry.origin(), topic, entry.key(), entry.version(), entry.payload(), entry.ageMillis(), ageBounded));
    }

    private void forward(PeerEntry entry, PeerTopic topic, String sender) {
        boolean fromOwnDataCentre = relayTracker
                .findMember(sender)
                .filter(member -> member.dataCentre().equals(settings.dataCentre()))
                .isPresent();
        TopicAudiences.ofForwarded(topic, fromOwnDataCentre).forEach(audience -> outbox.add(audience, entry));
    }
}
