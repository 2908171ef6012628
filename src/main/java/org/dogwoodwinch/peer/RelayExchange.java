package org.dogwoodwinch.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.peer.PeerOutbox.Audience;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A bus for a fleet in which one instance of each data centre, its relay, forwards the updates of the others. Confined
 * to one event loop.
 *
 * <p>Load: if each instance sends to each other one, messages grow with the square of the fleet; with random gossip,
 * load figures are older than the calls that they describe. Here an instance sends one message a round to its relay and
 * gets one back, and the relays send theirs to each other. The traffic of an instance does not grow with the fleet, and
 * that of a relay grows with its data centre only. A small fleet needs no relay: each instance sends to each other one
 * directly.
 *
 * <p>Failure: the relay dies, freezes or is cut off, and no instance receives updates any more. An instance that has
 * received no heartbeat from a predecessor in the succession order for a while becomes the relay, the next in order
 * first; two that act as relay at the same time send the same updates twice. Whatever requires agreement or durability
 * does not use this bus.
 */
public final class RelayExchange implements PeerBus {

    private static final Logger log = LoggerFactory.getLogger(RelayExchange.class);

    /**
     * The rounds between the heartbeats of a relay, and between the messages of an instance to its relay when it has no
     * updates: two of these messages may be lost before it counts as missing.
     */
    private static final int RELAY_HEARTBEAT_ROUNDS = 2;

    private static final int MEMBER_HEARTBEAT_ROUNDS = 3;

    /** The rounds between two searches for expired entries, which are only kept for others that start. */
    private static final int EXPIRY_ROUNDS = 8;

    private static final int STATE_REQUEST_ROUNDS = 3;

    /** An instance that lacks state repeats its request with its next read. */
    private static final long STATE_REQUEST_TTL_MILLIS = 1_000;

    /**
     * The topics that relays forward within their own data centre and, if the update comes from there, to the other
     * relays.
     */
    private static final Set<PeerTopic> FLEET_WIDE_TOPICS = Set.of(
            PeerTopic.QUARANTINE,
            PeerTopic.CRASHING_SEGMENT,
            PeerTopic.LEAVING,
            PeerTopic.BROKEN_TARGET,
            PeerTopic.TARGET_LIMIT,
            PeerTopic.TARGET_PERFORMANCE,
            PeerTopic.TARGET_LEAVES,
            PeerTopic.TARGETS_CUT_OFF);

    /** Topics whose updates are for their recipients alone: they are neither kept for instances that start nor forwarded. */
    private static final Set<PeerTopic> DIRECT_TOPICS = Set.of(
            PeerTopic.STREAM_BEGIN,
            PeerTopic.STREAM_QUESTION,
            PeerTopic.STREAM_ANSWER,
            PeerTopic.VERSIONS_QUESTION,
            PeerTopic.VERSIONS_ANSWER);

    private static final long DIRECT_TTL_MILLIS = 1_000;

    private final PeerSettings settings;
    private final TimeSource time;
    private final PeerTransport transport;
    private final Supplier<List<PeerMember>> members;
    private final PeerObserver observer;
    private final RelayTracker relayTracker;
    private final ReplayGuard replayGuard;
    private final ClockOffsets clockOffsets;
    private final LateMessages lateMessages = new LateMessages();
    private final StateTransfers stateTransfers = new StateTransfers();
    private final PeerCodec codec;
    private final PeerEntryStore store = new PeerEntryStore();
    private final Map<PeerTopic, List<Consumer<PeerUpdate>>> listeners = new EnumMap<>(PeerTopic.class);
    private final PeerOutbox outbox;
    private final Set<PeerMember> pendingSnapshots = new LinkedHashSet<>();
    private final List<Runnable> roundTasks = new ArrayList<>();
    private final long startedMillis;
    private long nextVersion = 1;
    private long nextNumber = 1;
    private long roundsCount;
    private int stateRequestCount;
    private long lastRelayMessageRound;
    private boolean wasRelay;

    /**
     * Creates an exchange; {@link #start()} makes it send.
     *
     * @param settings the settings; a fleet with no more other instances than the fanout uses no relays, not null
     * @param time the clock and timers, not null
     * @param transport sends messages, not null
     * @param members returns the other instances as the platform lists them, queried in each round, not null
     * @param observer is notified of the traffic, not null
     */
    public RelayExchange(
            PeerSettings settings,
            TimeSource time,
            PeerTransport transport,
            Supplier<List<PeerMember>> members,
            PeerObserver observer) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.time = Objects.requireNonNull(time, "time");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.members = Objects.requireNonNull(members, "members");
        this.observer = Objects.requireNonNull(observer, "observer");
        this.relayTracker = new RelayTracker(settings, time);
        this.replayGuard = new ReplayGuard(time);
        this.clockOffsets = new ClockOffsets(time);
        this.outbox = new PeerOutbox(time, settings.bytesPerSecond(), observer::onEntryDropped);
        this.codec = new PeerCodec(settings.secret(), settings.maxMessageBytes());
        this.startedMillis = time.wallMillis();
        for (PeerTopic topic : PeerTopic.values()) {
            listeners.put(topic, new ArrayList<>());
        }
    }

    /** Starts the rounds. */
    public void start() {
        time.schedule(settings.roundMillis(), this::runRound);
    }

    /**
     * Registers a task that runs in each round before its messages are sent.
     *
     * @param task the task, not null
     */
    public void beforeEachRound(Runnable task) {
        roundTasks.add(Objects.requireNonNull(task, "task"));
    }

    /**
     * Returns whether the fleet is so large that it uses relays.
     *
     * @return false while each instance sends to each other one
     */
    public boolean usesRelays() {
        return relayTracker.usesRelays();
    }

    /**
     * Returns whether this instance is in contact with the others.
     *
     * @return whether one of them has sent a message lately, or none is listed
     */
    public boolean hearsOthers() {
        return relayTracker.others().isEmpty() || relayTracker.hasRecentMessage();
    }

    /**
     * Returns whether this instance is currently the relay of its data centre.
     *
     * @return whether no predecessor in the succession order has recently acted as the relay
     */
    public boolean isRelay() {
        return relayTracker.isRelay();
    }

    /**
     * Returns whether relays send their heartbeat in this round; other updates for all instances then go in the same
     * message.
     *
     * @return whether this is such a round
     */
    public boolean isHeartbeatRound() {
        return roundsCount % RELAY_HEARTBEAT_ROUNDS == 0;
    }

    /**
     * Returns this instance's position in the succession order.
     *
     * @return zero for the first
     */
    public int ownRank() {
        return relayTracker.ownRank();
    }

    /**
     * Returns whether another instance of this data centre precedes this one in the succession order.
     *
     * @param name its name, not null
     * @return whether it is a predecessor
     */
    public boolean isPredecessor(String name) {
        return relayTracker.isPredecessor(name);
    }

    /**
     * Sets which instances cannot perform the tasks of {@link #isAssignedToSelf} although they send messages.
     *
     * @param names their names, with this instance's if it is one of them, not null
     */
    public void updateUnableInstances(Set<String> names) {
        relayTracker.updateUnable(names);
    }

    /**
     * Returns whether a task that one instance of each data centre performs is assigned to this one.
     *
     * @param key the key of the task, not null
     * @return whether no other instance that is considered alive ranks higher for it
     */
    public boolean isAssignedToSelf(String key) {
        return relayTracker.isAssignedToSelf(key);
    }

    /**
     * Returns whether a task that one instance of the whole fleet performs is assigned to this one. It is assigned to
     * the relay that ranks highest for it.
     *
     * @param key the key of the task, not null
     * @return whether this instance is a relay, and no other recently active relay ranks higher
     */
    public boolean isFleetTaskAssignedToSelf(String key) {
        return relayTracker.isFleetTaskAssignedToSelf(key);
    }

    /**
     * Returns whether an instance belongs to this data centre.
     *
     * @param name its name, not null
     * @return whether it is this instance, or is listed in this data centre
     */
    public boolean isInOwnDataCentre(String name) {
        return relayTracker.inOwnDataCentre(name);
    }

    /**
     * Registers the state of a topic for transfer to each instance that a connection has been opened to, since that
     * instance may have restarted and may not know any other instance that it could ask.
     *
     * @param topic the topic, not null
     * @param entries returns the current payloads by key, called for each transfer, not null
     * @param ttlMillis the time to live of the transferred entries
     */
    public void addStateTransfer(PeerTopic topic, Supplier<Map<String, Bytes>> entries, long ttlMillis) {
        stateTransfers.addSource(topic, entries, ttlMillis);
    }

    /**
     * Called when a connection to another instance was opened.
     *
     * @param member the instance, not null
     */
    public void onConnected(PeerMember member) {
        if (isRelay() || !usesRelays()) {
            stateTransfers.onConnected(member, roundsCount);
            sendState(member);
        }
    }

    /**
     * Requests all state from other instances, because the platform rejects this instance's calls and it has no state
     * to serve from. The request goes to the instance's relay or, from a relay, to those of the other data centres. It
     * also goes to one other instance of the own data centre, a different one each time, since the relay may be
     * rejected as well.
     */
    public void requestState() {
        List<PeerEntry> request =
                List.of(ownEntry(PeerTopic.WANT, settings.instance(), Bytes.EMPTY, STATE_REQUEST_TTL_MILLIS));
        send(
                request,
                isRelay()
                        ? relayTracker.inOtherDataCentres()
                        : relayTracker.inOwnDataCentre().flatMap(relayTracker::findMember).stream()
                                .toList());
        List<PeerMember> localPeers = relayTracker.localPeers();
        if (!localPeers.isEmpty()) {
            send(request, List.of(localPeers.get(stateRequestCount++ % localPeers.size())));
        }
    }

    /** Sends all state to a member, and returns whether there was any state of the registered topics. */
    private boolean sendState(PeerMember member) {
        pendingSnapshots.add(member);
        sendPendingSnapshots();
        return stateTransfers.forEachEntry((topic, key, payload, ttlMillis) ->
                send(List.of(ownEntry(topic, key, payload, ttlMillis)), List.of(member)));
    }

    /**
     * Sends an update to the own data centre immediately, for updates that the platform's limits depend on and that
     * cannot wait for a round.
     *
     * @param topic the topic, not null
     * @param key the key within the topic, not null
     * @param payload the content, not null
     * @param ttlMillis the time to live at the recipients
     * @param toOtherDataCentres whether the relays of the other data centres get the update too
     */
    public void publishImmediately(
            PeerTopic topic, String key, Bytes payload, long ttlMillis, boolean toOtherDataCentres) {
        List<PeerEntry> entries = List.of(ownEntry(topic, key, payload, ttlMillis));
        send(entries, relayTracker.localPeers());
        if (toOtherDataCentres && isRelay()) {
            send(entries, relayTracker.inOtherDataCentres());
        }
    }

    /**
     * Sends an update to some instances immediately, and to no others.
     *
     * @param topic a topic whose updates are for their recipients alone, not null
     * @param payload the content, not null
     * @param names the names of the recipients, not null; names that are not listed are left out
     */
    public void sendDirectly(PeerTopic topic, Bytes payload, Collection<String> names) {
        List<PeerMember> recipients = names.stream()
                .flatMap(name -> relayTracker.findMember(name).stream())
                .toList();
        send(List.of(ownEntry(topic, "", payload, DIRECT_TTL_MILLIS)), recipients);
    }

    /**
     * Sends the stored entries to members that have just started, one member after the other as the budget allows.
     *
     * <p>Load: when a whole data centre starts at once, sending everything to all members would saturate a narrow link
     * for seconds.
     */
    private void sendPendingSnapshots() {
        // A send may open a connection, which adds its member to those that wait.
        while (!pendingSnapshots.isEmpty()) {
            List<PeerEntry> entries = store.snapshot(time.monotonicMillis(), settings.maxMessageBytes() / 2);
            if (!outbox.hasBudgetFor(
                    entries.stream().mapToLong(PeerCodec::sizeOf).sum())) {
                return;
            }
            PeerMember member = pendingSnapshots.iterator().next();
            pendingSnapshots.remove(member);
            send(entries, List.of(member));
        }
    }

    private PeerEntry ownEntry(PeerTopic topic, String key, Bytes payload, long ttlMillis) {
        return new PeerEntry(
                settings.instance(), startedMillis, topic.name(), key, nextVersion++, 0, ttlMillis, payload);
    }

    @Override
    public void publish(PeerTopic topic, String key, Bytes payload, long ttlMillis) {
        PeerEntry entry = ownEntry(topic, key, payload, ttlMillis);
        store.add(entry, time.monotonicMillis(), 0);
        if (topic == PeerTopic.KEPT_PARTS) {
            outbox.add(isRelay() || !usesRelays() ? Audience.OWN_DATA_CENTRE : Audience.OWN_RELAY, entry);
        } else if (topic == PeerTopic.ALIVE) {
            outbox.add(Audience.OWN_DATA_CENTRE, entry);
            outbox.add(Audience.OTHER_RELAYS, entry);
        } else if (topic == PeerTopic.CENTRE_LOAD) {
            outbox.add(Audience.OTHER_RELAYS, entry);
        } else if (topic == PeerTopic.FLEET_LOAD) {
            outbox.add(Audience.OWN_DATA_CENTRE, entry);
        } else if (!usesRelays()) {
            outbox.add(Audience.ALL, entry);
        } else if (!isRelay()) {
            outbox.add(Audience.OWN_RELAY, entry);
        } else if (topic != PeerTopic.LOAD) {
            outbox.add(Audience.OWN_DATA_CENTRE, entry);
            outbox.add(Audience.OTHER_RELAYS, entry);
        }
    }

    @Override
    public void subscribe(PeerTopic topic, Consumer<PeerUpdate> listener) {
        listeners.get(topic).add(listener);
    }

    private void runRound() {
        roundsCount++;
        relayTracker.updateMembers(members.get());
        if (roundsCount % EXPIRY_ROUNDS == 0) {
            store.expire(time.monotonicMillis());
        }
        relayTracker.expireSilentMembers();
        roundTasks.forEach(Runnable::run);
        stateTransfers.retryPending(relayTracker::hasMessageFrom, roundsCount, this::sendState);
        boolean isRelay = isRelay();
        if (isRelay != wasRelay) {
            wasRelay = isRelay;
            LogEvent.of("relay_changed")
                    .with("acting", isRelay)
                    .with("relay", relayTracker.inOwnDataCentre().orElseGet(settings::instance))
                    .with("rank", relayTracker.ownRank())
                    .info(log);
        }
        if (isRelay && isHeartbeatRound()) {
            publishHeartbeat();
        }
        flush(isRelay);
        time.schedule(settings.roundMillis(), this::runRound);
    }

    private void flush(boolean isRelay) {
        flush(Audience.ALL, relayTracker.others());
        flush(Audience.OTHER_RELAYS, relayTracker.inOtherDataCentres());
        if (isRelay) {
            // These entries were queued for a relay that has since fallen silent.
            outbox.move(Audience.OWN_RELAY, Audience.OWN_DATA_CENTRE);
        }
        flush(Audience.OWN_DATA_CENTRE, relayTracker.localPeers());
        if (!isRelay) {
            sendToOwnRelay(relayTracker.inOwnDataCentre().flatMap(relayTracker::findMember).stream()
                    .toList());
        }
        sendPendingSnapshots();
    }

    private void flush(Audience audience, List<PeerMember> recipients) {
        if (recipients.isEmpty()) {
            outbox.clear(audience);
            return;
        }
        List<PeerEntry> entries = outbox.take(audience, recipients.size());
        if (!entries.isEmpty()) {
            send(entries, recipients);
        }
    }

    private void sendToOwnRelay(List<PeerMember> relay) {
        List<PeerEntry> entries = outbox.take(Audience.OWN_RELAY, relay.size());
        if (!entries.isEmpty() || roundsCount - lastRelayMessageRound >= MEMBER_HEARTBEAT_ROUNDS) {
            lastRelayMessageRound = roundsCount;
            send(entries, relay);
        }
    }

    private void publishHeartbeat() {
        if (relayTracker.localPeers().isEmpty()) {
            return;
        }
        Set<String> alive = relayTracker.recentSenders();
        Map<String, Long> offsets = new TreeMap<>(clockOffsets.offsetsMillis());
        offsets.keySet().removeIf(name -> relayTracker.inOwnDataCentre(name) && !alive.contains(name));
        offsets.put(settings.instance(), 0L);
        publish(
                PeerTopic.ALIVE,
                settings.dataCentre(),
                new RelayHeartbeat(offsets).encode(),
                relayTracker.heartbeatTtlMillis());
    }

    /**
     * Discards the clock offsets after this process was suspended, since transit times are wrong by the length of the
     * suspension.
     */
    public void onSuspension() {
        clockOffsets.reset();
    }

    private void send(List<PeerEntry> entries, List<PeerMember> recipients) {
        if (recipients.isEmpty()) {
            return;
        }
        Bytes encoded = codec.encode(new PeerMessage(
                PeerMessage.VERSION,
                settings.instance(),
                startedMillis,
                nextNumber++,
                time.wallMillis(),
                time.monotonicMillis(),
                recipients.size() == 1
                        ? clockOffsets.offsetMillis(recipients.get(0).name())
                        : Optional.empty(),
                roundsCount <= STATE_REQUEST_ROUNDS,
                entries));
        for (PeerEntry entry : entries) {
            PeerTopic.find(entry.topic())
                    .ifPresent(topic -> observer.onEntrySent(topic, PeerCodec.sizeOf(entry), recipients.size()));
        }
        outbox.onSent((long) encoded.length() * recipients.size());
        for (PeerMember member : recipients) {
            observer.onSent(encoded.length());
            transport.send(member, encoded);
        }
    }

    /**
     * Processes a message from the transport.
     *
     * @param received the encoded message, not null
     * @return whether it was accepted; a connection that delivers a refused message is closed
     */
    public boolean receive(Bytes received) {
        boolean[] accepted = new boolean[1];
        codec.decode(
                received,
                message -> {
                    observer.onReceived(received.length());
                    accepted[0] = process(message);
                },
                observer::onRefused);
        return accepted[0];
    }

    private boolean process(PeerMessage message) {
        if (replayGuard.isReplayed(message)) {
            observer.onRefused(PeerRefusal.REPLAYED);
            return false;
        }
        relayTracker.onMessageFrom(message.sender());
        clockOffsets.onMessage(message);
        Optional<RelayHeartbeat> heartbeat = heartbeatIn(message);
        if (message.leadMillis().isPresent()) {
            clockOffsets.onReportedOffset(message.sender(), message.startedMillis(), message.leadMillis());
        } else {
            heartbeat.ifPresent(relayHeartbeat -> clockOffsets.onReportedOffset(
                    message.sender(), message.startedMillis(), relayHeartbeat.clockOffsetMillis(settings.instance())));
        }
        OptionalLong transitMillis = clockOffsets.transitMillis(message);
        transitMillis.ifPresent(millis -> {
            observer.onTransitTime(millis);
            lateMessages.onMessage(message.sender(), millis);
        });
        for (PeerEntry entry : message.items()) {
            accept(entry, transitMillis, message.sender(), heartbeat);
        }
        if (stateTransfers.isFirstStateRequest(message) && (isRelay() || !usesRelays())) {
            // The reply requests no state itself: two starting instances would send each other everything endlessly.
            relayTracker.findMember(message.sender()).ifPresent(pendingSnapshots::add);
            sendPendingSnapshots();
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
        if (topic.isPresent() && DIRECT_TOPICS.contains(topic.get())) {
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
            relayTracker.findMember(sender).ifPresent(this::sendState);
            return;
        }
        if (isRelay() && usesRelays()) {
            forward(entry, topic.get(), sender);
        }
        deliver(entry, topic.get(), transitMillis.isPresent() && entry.origin().equals(sender));
    }

    private void deliver(PeerEntry entry, PeerTopic topic, boolean ageBounded) {
        PeerUpdate update = new PeerUpdate(
                entry.origin(), topic, entry.key(), entry.version(), entry.payload(), entry.ageMillis(), ageBounded);
        listeners.get(topic).forEach(listener -> listener.accept(update));
    }

    private void forward(PeerEntry entry, PeerTopic topic, String sender) {
        boolean fromOwnDataCentre = relayTracker
                .findMember(sender)
                .filter(member -> member.dataCentre().equals(settings.dataCentre()))
                .isPresent();
        if (FLEET_WIDE_TOPICS.contains(topic)) {
            outbox.add(Audience.OWN_DATA_CENTRE, entry);
            if (fromOwnDataCentre) {
                outbox.add(Audience.OTHER_RELAYS, entry);
            }
        } else if (topic == PeerTopic.KEPT_PARTS && fromOwnDataCentre) {
            outbox.add(Audience.OWN_DATA_CENTRE, entry);
        }
    }
}
