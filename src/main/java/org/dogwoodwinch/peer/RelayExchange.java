package org.dogwoodwinch.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Iterator;
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
 * The notice board of a fleet in which one instance of each data centre, its relay, passes on what the others say. Used
 * on one event loop alone.
 *
 * <p>Load: told by each to each, messages grow with the square of the fleet; passed on at random, word of what is under
 * way is older than the calls it is about. Here an instance sends one message a round to its relay and gets one back;
 * relays send theirs to each other. What one instance spends does not grow with the fleet, what a relay spends grows
 * with its data centre alone. A small fleet needs no relay for this: each tells each at once.
 *
 * <p>Failure: the relay dies, freezes or is cut off, and nobody hears anything. Whoever has heard no relay before it in
 * the order of succession for a while acts as one, the next in order first; two that both act for a moment say the same
 * things twice. Nothing that must be agreed or kept goes this way.
 */
public final class RelayExchange implements PeerBoard {

    private static final Logger log = LoggerFactory.getLogger(RelayExchange.class);

    /** A relay's word without news, and an instance's to its relay: two of them may be lost before it is missed. */
    private static final int RELAY_HEARTBEAT_ROUNDS = 2;

    private static final int MEMBER_HEARTBEAT_ROUNDS = 3;

    private static final int STATE_REQUEST_ROUNDS = 3;

    /** Who wants something asks again with its next reading. */
    private static final long STATE_REQUEST_TTL_MILLIS = 1_000;

    /** What relays pass on to their own data centre and, where it comes from there, to the other relays. */
    private static final Set<PeerTopic> FLEET_WIDE_TOPICS =
            Set.of(PeerTopic.QUARANTINE, PeerTopic.LEAVING, PeerTopic.BROKEN_TARGET, PeerTopic.TARGET_LIMIT);

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
    private final Map<PeerTopic, List<Consumer<PeerItem>>> listeners = new EnumMap<>(PeerTopic.class);
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
     * @param settings what may be set; a fleet with no more others than neighbours needs no relays, not null
     * @param time the clock and timers, not null
     * @param transport carries messages, not null
     * @param members the other instances as the platform lists them, asked for at each round, not null
     * @param observer hears of traffic, not null
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
        this.outbox = new PeerOutbox(time, settings.bytesPerSecond(), observer::onDropped);
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
     * Calls back at each round, before it is sent.
     *
     * @param task what to do, not null
     */
    public void eachRound(Runnable task) {
        roundTasks.add(Objects.requireNonNull(task, "task"));
    }

    /**
     * Says whether the fleet is so large that loads go by relays.
     *
     * @return false while each tells each
     */
    public boolean byRelays() {
        return relayTracker.usesRelays();
    }

    /**
     * Says whether this instance is its data centre's relay now.
     *
     * @return whether no instance before it was heard to be one of late
     */
    public boolean acting() {
        return relayTracker.isRelay();
    }

    /**
     * Says whether a relay gives its sign of life in this round: what else is told to all then goes in the same message.
     *
     * @return whether this is such a round
     */
    public boolean relaysRound() {
        return roundsCount % RELAY_HEARTBEAT_ROUNDS == 0;
    }

    /**
     * Returns this instance's place in the order of succession.
     *
     * @return zero for the first
     */
    public int ownRank() {
        return relayTracker.ownRank();
    }

    /**
     * Says whether another instance of this data centre stands before this one.
     *
     * @param name its name, not null
     * @return whether it does
     */
    public boolean before(String name) {
        return relayTracker.isPredecessor(name);
    }

    /**
     * Says whether a duty that one instance of each data centre does falls to this one.
     *
     * @param key what the duty is about, not null
     * @return whether no other instance that is believed alive ranks higher for it
     */
    public boolean fallsToOwn(String key) {
        return relayTracker.isAssignedToSelf(key);
    }

    /**
     * Says whether a duty that one instance of the whole fleet does falls to this one: the one of the relays that ranks
     * highest for it.
     *
     * @param key what the duty is about, not null
     * @return whether this instance acts as a relay, and no other relay that was heard of late ranks higher
     */
    public boolean fleetsDutyFallsToOwn(String key) {
        return relayTracker.isFleetTaskAssignedToSelf(key);
    }

    /**
     * Says whether an instance is one of this data centre.
     *
     * @param name its name, not null
     * @return whether it is this one, or is listed in this data centre
     */
    public boolean ofOwnCentre(String name) {
        return relayTracker.inOwnDataCentre(name);
    }

    /**
     * Tells everything of a topic to each instance that this one has just been connected to: it may have started anew, and
     * know nobody that it could ask.
     *
     * @param topic the topic, not null
     * @param entries what is to be told by key, asked for each time, not null
     * @param ttlMillis how long it may be of use
     */
    public void tellNewcomers(PeerTopic topic, Supplier<Map<String, Bytes>> entries, long ttlMillis) {
        stateTransfers.addSource(topic, entries, ttlMillis);
    }

    /**
     * Hears of a new connection to another instance.
     *
     * @param member the instance, not null
     */
    public void connected(PeerMember member) {
        if (acting() || !byRelays()) {
            stateTransfers.onConnected(member, roundsCount);
            sendState(member);
        }
    }

    /**
     * Asks others for all that they know: the platform turns this instance away, and it has nothing to serve by. The one
     * that tells it, and of its data centre each time another one, since the relay may be turned away as well.
     */
    public void wantEverything() {
        List<PeerEntry> request =
                List.of(ownEntry(PeerTopic.WANT, settings.instance(), Bytes.EMPTY, STATE_REQUEST_TTL_MILLIS));
        send(
                request,
                acting()
                        ? relayTracker.inOtherDataCentres()
                        : relayTracker.inOwnDataCentre().flatMap(relayTracker::findMember).stream()
                                .toList());
        List<PeerMember> localPeers = relayTracker.localPeers();
        if (!localPeers.isEmpty()) {
            send(request, List.of(localPeers.get(stateRequestCount++ % localPeers.size())));
        }
    }

    /** Returns whether there was anything to tell newcomers. */
    private boolean sendState(PeerMember member) {
        pendingSnapshots.add(member);
        sendPendingSnapshots();
        return stateTransfers.forEachEntry((topic, key, payload, ttlMillis) ->
                send(List.of(ownEntry(topic, key, payload, ttlMillis)), List.of(member)));
    }

    /**
     * Tells the own data centre at once: what the platform's bounds count for may not wait for a round.
     *
     * @param topic the topic, not null
     * @param key what it is about, not null
     * @param payload what is told, not null
     * @param ttlMillis how long it may be of use
     * @param toOtherDataCentres whether the relays of the other data centres are told too
     */
    public void publishAtOnce(PeerTopic topic, String key, Bytes payload, long ttlMillis, boolean toOtherDataCentres) {
        List<PeerEntry> entries = List.of(ownEntry(topic, key, payload, ttlMillis));
        send(entries, relayTracker.localPeers());
        if (toOtherDataCentres && acting()) {
            send(entries, relayTracker.inOtherDataCentres());
        }
    }

    /**
     * Tells newcomers what is known beside the streams, one after the other as the link has room.
     *
     * <p>Load: a whole data centre starts at once. Everything for everybody would fill a narrow link for seconds.
     */
    private void sendPendingSnapshots() {
        Iterator<PeerMember> recipients = pendingSnapshots.iterator();
        while (recipients.hasNext()) {
            List<PeerEntry> entries = store.snapshot(time.monotonicMillis(), settings.maxMessageBytes() / 2);
            if (!outbox.hasBudgetFor(
                    entries.stream().mapToLong(PeerCodec::sizeOf).sum())) {
                return;
            }
            PeerMember member = recipients.next();
            recipients.remove();
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
            outbox.add(acting() || !byRelays() ? Audience.OWN_DATA_CENTRE : Audience.OWN_RELAY, entry);
        } else if (topic == PeerTopic.ALIVE) {
            outbox.add(Audience.OWN_DATA_CENTRE, entry);
            outbox.add(Audience.OTHER_RELAYS, entry);
        } else if (topic == PeerTopic.CENTRE_LOAD) {
            outbox.add(Audience.OTHER_RELAYS, entry);
        } else if (topic == PeerTopic.FLEET_LOAD) {
            outbox.add(Audience.OWN_DATA_CENTRE, entry);
        } else if (!byRelays()) {
            outbox.add(Audience.ALL, entry);
        } else if (!acting()) {
            outbox.add(Audience.OWN_RELAY, entry);
        } else if (topic != PeerTopic.LOAD) {
            outbox.add(Audience.OWN_DATA_CENTRE, entry);
            outbox.add(Audience.OTHER_RELAYS, entry);
        }
    }

    @Override
    public void subscribe(PeerTopic topic, Consumer<PeerItem> listener) {
        listeners.get(topic).add(listener);
    }

    private void runRound() {
        roundsCount++;
        relayTracker.updateMembers(members.get());
        store.expire(time.monotonicMillis());
        relayTracker.expireSilentMembers();
        roundTasks.forEach(Runnable::run);
        stateTransfers.retryPending(relayTracker::hasMessageFrom, roundsCount, this::sendState);
        boolean isRelay = acting();
        if (isRelay != wasRelay) {
            wasRelay = isRelay;
            LogEvent.of("relay_changed")
                    .with("acting", isRelay)
                    .with("relay", relayTracker.inOwnDataCentre().orElseGet(settings::instance))
                    .with("rank", relayTracker.ownRank())
                    .info(log);
        }
        if (isRelay && relaysRound()) {
            publishHeartbeat();
        }
        flush(isRelay);
        time.schedule(settings.roundMillis(), this::runRound);
    }

    private void flush(boolean isRelay) {
        flush(Audience.ALL, relayTracker.others());
        flush(Audience.OTHER_RELAYS, relayTracker.inOtherDataCentres());
        if (isRelay) {
            // It was for a relay that has gone silent since.
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

    /** This process was suspended: what is known of the ways of messages is wrong by that time. */
    public void suspended() {
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
                    .ifPresent(topic -> observer.onTold(topic, PeerCodec.sizeOf(entry), recipients.size()));
        }
        outbox.onSent((long) encoded.length() * recipients.size());
        for (PeerMember member : recipients) {
            observer.onSent(encoded.length());
            transport.send(member, encoded);
        }
    }

    /**
     * Takes a message from the transport.
     *
     * @param received the message, not null
     * @return whether it was taken; a connection that brings one that is refused is closed
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
            observer.onWay(millis);
            lateMessages.onMessage(message.sender(), millis);
        });
        for (PeerEntry entry : message.items()) {
            accept(entry, transitMillis, message.sender(), heartbeat);
        }
        if (stateTransfers.isFirstStateRequest(message) && (acting() || !byRelays())) {
            // Without the wish to be answered: two newcomers would send each other everything without end.
            relayTracker.findMember(message.sender()).ifPresent(pendingSnapshots::add);
            sendPendingSnapshots();
        }
        return true;
    }

    /** What a relay says of itself and of the clocks of those that it hears, where the message has that. */
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
        if (topic.isEmpty()
                || entry.origin().equals(settings.instance())
                // What came late is old and still news; its age may be this instance's own way.
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
        if (acting() && byRelays()) {
            forward(entry, topic.get(), sender);
        }
        boolean ageBounded = transitMillis.isPresent() && entry.origin().equals(sender);
        PeerItem update = new PeerItem(
                entry.origin(),
                topic.get(),
                entry.key(),
                entry.version(),
                entry.payload(),
                entry.ageMillis(),
                ageBounded);
        listeners.get(topic.get()).forEach(listener -> listener.accept(update));
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
