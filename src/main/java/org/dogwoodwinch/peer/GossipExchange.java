package org.dogwoodwinch.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;

/**
 * A gossip protocol: each round sends new entries to a few randomly selected members, within a budget of bytes.
 *
 * <p>Whatever requires agreement or durability goes through the log instead. Losing all messages causes stale load
 * figures and delays reports of leaving targets and quarantines, but never a wrong order or a second run. Thread-safe.
 */
public final class GossipExchange implements PeerBus {

    /**
     * The fleet size above which load figures stay within a data centre, since the figures of each instance about each
     * target would exceed the budget.
     */
    private static final int MAX_MEMBERS_FOR_FLEET_WIDE_LOAD = 24;

    private static final int EXTRA_TRANSMISSIONS = 2;
    private static final int STATE_REQUEST_ROUNDS = 3;
    private static final long HEARTBEAT_MILLIS_PER_MEMBER = 50;
    private static final int HEARTBEAT_TTL_PERIODS = 4;
    private final PeerSettings settings;
    private final TimeSource time;
    private final UniformRandomProvider random;
    private final PeerTransport transport;
    private final Supplier<List<PeerMember>> members;
    private final PeerObserver observer;
    private final PeerCodec codec;
    private final PeerEntryStore store = new PeerEntryStore();
    private final PeerSubscriptions subscriptions = new PeerSubscriptions();
    private final PeerMessageReader reader;
    private final PeerMessageFactory factory;
    private int stateRequestRoundsLeft = STATE_REQUEST_ROUNDS;
    private long nextHeartbeatMillis;
    private Cancellable roundTimer = () -> {};
    private boolean stopped;

    /**
     * Creates an exchange; {@link #start()} makes it send.
     *
     * @param settings the settings, not null
     * @param time the clock and timers, not null
     * @param random selects the members of a round, not null; used under this object's lock
     * @param transport sends messages, not null
     * @param members returns the other instances as the platform lists them, queried in each round, not null
     * @param observer is notified of the traffic, not null
     */
    public GossipExchange(
            PeerSettings settings,
            TimeSource time,
            UniformRandomProvider random,
            PeerTransport transport,
            Supplier<List<PeerMember>> members,
            PeerObserver observer) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.time = Objects.requireNonNull(time, "time");
        this.random = Objects.requireNonNull(random, "random");
        this.transport = Objects.requireNonNull(transport, "transport");
        this.members = Objects.requireNonNull(members, "members");
        this.observer = Objects.requireNonNull(observer, "observer");
        this.codec = new PeerCodec(settings.secret(), settings.maxMessageBytes());
        this.reader = new PeerMessageReader(codec, time, observer);
        this.factory = new PeerMessageFactory(settings.instance(), time);
    }

    /** Starts the rounds. */
    public void start() {
        roundTimer = time.schedule(settings.roundMillis(), this::runRound);
    }

    /** Stops the rounds. */
    public synchronized void stop() {
        stopped = true;
        roundTimer.cancel();
    }

    /**
     * Returns the identifier of this incarnation of the instance, which the claims stream carries.
     *
     * @return the instance's name and the time of its start
     */
    public String incarnationId() {
        return incarnationIdOf(settings.instance(), factory.startedMillis());
    }

    /**
     * Returns whether an incarnation of an instance is alive.
     *
     * @param incarnationId its identifier as returned by {@link #incarnationId()}, not null
     * @return true if its last heartbeat has not expired
     */
    public synchronized boolean isAlive(String incarnationId) {
        store.expire(time.monotonicMillis());
        int separator = incarnationId.lastIndexOf('~');
        String instance = incarnationId.substring(0, Math.max(0, separator));
        return incarnationId.equals(incarnationId())
                || store.find(instance, PeerTopic.MEMBER, instance)
                        .filter(entry -> incarnationIdOf(entry.origin(), entry.startedMillis())
                                .equals(incarnationId))
                        .isPresent();
    }

    private static String incarnationIdOf(String instance, long started) {
        return instance + "~" + Long.toString(started, Character.MAX_RADIX);
    }

    @Override
    public synchronized void publish(PeerTopic topic, String key, Bytes payload, long ttlMillis) {
        PeerEntry entry = factory.createEntry(topic, key, payload, ttlMillis);
        int transmissions = topic == PeerTopic.CATALOGUE ? 0 : transmissionLimit();
        store.add(entry, time.monotonicMillis(), transmissions);
    }

    @Override
    public void subscribe(PeerTopic topic, Consumer<PeerUpdate> listener) {
        subscriptions.add(topic, listener);
    }

    /**
     * Returns the number of stored entries.
     *
     * @return the count
     */
    public synchronized int entryCount() {
        return store.size();
    }

    private int transmissionLimit() {
        int count = members.get().size() + 1;
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(count);
        return Math.min(count - 1, doublings + EXTRA_TRANSMISSIONS);
    }

    /**
     * Returns how often an entry of another instance is forwarded: never if a round reaches every member, since each of
     * them then receives it from its origin.
     */
    private int forwardLimit() {
        return members.get().size() <= settings.fanout() ? 0 : transmissionLimit();
    }

    private void runRound() {
        List<Outgoing> outgoing = new ArrayList<>();
        synchronized (this) {
            if (stopped) {
                return;
            }
            store.expire(time.monotonicMillis());
            publishHeartbeat();
            List<PeerMember> selected = selectRandomMembers();
            for (PeerMember member : selected) {
                outgoing.add(new Outgoing(member, messageFor(member, selected.size())));
            }
            stateRequestRoundsLeft = Math.max(0, stateRequestRoundsLeft - (selected.isEmpty() ? 0 : 1));
            roundTimer = time.schedule(settings.roundMillis(), this::runRound);
        }
        outgoing.forEach(each -> send(each.member(), each.message()));
    }

    /** Publishes a heartbeat. Its interval grows with the number of members, so that its traffic stays bounded. */
    private void publishHeartbeat() {
        long nowMillis = time.monotonicMillis();
        if (nowMillis < nextHeartbeatMillis) {
            return;
        }
        long periodMillis = Math.max(
                settings.roundMillis(),
                HEARTBEAT_MILLIS_PER_MEMBER * members.get().size());
        nextHeartbeatMillis = nowMillis + periodMillis;
        publish(PeerTopic.MEMBER, settings.instance(), Bytes.EMPTY, HEARTBEAT_TTL_PERIODS * periodMillis);
    }

    private List<PeerMember> selectRandomMembers() {
        List<PeerMember> others = new ArrayList<>(members.get());
        others.removeIf(member -> member.name().equals(settings.instance()));
        List<PeerMember> selected = new ArrayList<>();
        while (selected.size() < settings.fanout() && !others.isEmpty()) {
            selected.add(others.remove(random.nextInt(others.size())));
        }
        return selected;
    }

    private PeerMessage messageFor(PeerMember member, int recipientCount) {
        int budgetBytes = (int) (settings.bytesPerSecond() * settings.roundMillis() / 1_000 / recipientCount);
        boolean sharesLoadFleetWide = members.get().size() <= MAX_MEMBERS_FOR_FLEET_WIDE_LOAD;
        boolean sameDataCentre = member.dataCentre().equals(settings.dataCentre());
        List<PeerEntry> items = store.takeForTransmission(
                time.monotonicMillis(),
                budgetBytes,
                entry -> !entry.origin().equals(member.name())
                        && (sameDataCentre
                                || sharesLoadFleetWide
                                || !entry.topic().equals(PeerTopic.LOAD.name())));
        return message(items, stateRequestRoundsLeft > 0);
    }

    private PeerMessage message(List<PeerEntry> items, boolean requestsState) {
        return factory.createMessage(items, Optional.empty(), requestsState);
    }

    private void send(PeerMember member, PeerMessage message) {
        Bytes encoded = codec.encode(message);
        observer.onSent(encoded.length());
        transport.send(member, encoded);
    }

    /**
     * Processes a message from the transport.
     *
     * @param received the encoded message, not null
     * @return whether it was accepted; a connection that delivers a refused message is closed
     */
    public boolean receive(Bytes received) {
        Optional<PeerMessage> message = reader.decode(received);
        return message.isPresent() && process(message.get());
    }

    private boolean process(PeerMessage message) {
        List<PeerUpdate> updates = new ArrayList<>();
        Optional<Outgoing> reply = Optional.empty();
        synchronized (this) {
            if (reader.isReplayed(message)) {
                return false;
            }
            message.items().forEach(entry -> accept(entry).ifPresent(updates::add));
            if (message.newcomer() && !message.sender().equals(settings.instance())) {
                reply = stateReply(message.sender());
            }
        }
        reply.ifPresent(each -> send(each.member(), each.message()));
        updates.forEach(subscriptions::deliver);
        return true;
    }

    private Optional<PeerUpdate> accept(PeerEntry entry) {
        Optional<PeerTopic> topic = PeerTopic.find(entry.topic());
        if (topic.isEmpty() || entry.origin().equals(settings.instance())) {
            return Optional.empty();
        }
        // A catalogue is as large as all other entries together, and each member publishes its own: it is not
        // forwarded.
        boolean isCatalogue = topic.get() == PeerTopic.CATALOGUE;
        if (!isCatalogue && !store.add(entry, time.monotonicMillis(), forwardLimit())) {
            return Optional.empty();
        }
        return Optional.of(new PeerUpdate(
                entry.origin(), topic.get(), entry.key(), entry.version(), entry.payload(), entry.ageMillis()));
    }

    /**
     * Returns a reply with all entries. It never requests state itself, since two instances that have just started
     * would otherwise send each other everything endlessly.
     */
    private Optional<Outgoing> stateReply(String sender) {
        List<PeerEntry> entries = store.snapshot(time.monotonicMillis(), settings.maxMessageBytes() / 2);
        return members.get().stream()
                .filter(member -> member.name().equals(sender))
                .findFirst()
                .map(member -> new Outgoing(member, message(entries, false)));
    }

    private record Outgoing(PeerMember member, PeerMessage message) {}
}
