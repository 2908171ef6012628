package org.dogwoodwinch.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.logging.LogEvent;
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

    /** The rounds between the heartbeats of a relay: two of them may be lost before it counts as missing. */
    private static final int RELAY_HEARTBEAT_ROUNDS = 2;

    /** The rounds between two statements that this process stops: two of them may be lost, or a recipient may start. */
    private static final int LEAVE_NOTICE_ROUNDS = 3;

    /** The rounds between two searches for expired entries, which are only kept for others that start. */
    private static final int EXPIRY_ROUNDS = 8;

    private static final int STATE_REQUEST_ROUNDS = 3;

    /** An instance that lacks state repeats its request with its next read. */
    private static final long STATE_REQUEST_TTL_MILLIS = 1_000;

    private static final long DIRECT_TTL_MILLIS = 1_000;

    private final PeerSettings settings;
    private final TimeSource time;
    private final Supplier<List<PeerMember>> members;
    private final RelayTracker relayTracker;
    private final ClockOffsets clockOffsets;
    private final PeerMessageFactory factory;
    private final PeerEntryStore store = new PeerEntryStore();
    private final PeerSubscriptions subscriptions = new PeerSubscriptions();
    private final PeerOutbox outbox;
    private final PeerMessageSender sender;
    private final OutboxFlush outboxFlush;
    private final StateSender stateSender;
    private final RelayMessageReceiver receiver;
    private final List<Runnable> roundTasks = new ArrayList<>();
    private long roundsCount;
    private int stateRequestCount;
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
        this.members = Objects.requireNonNull(members, "members");
        this.relayTracker = new RelayTracker(settings, time);
        this.clockOffsets = new ClockOffsets(time);
        PeerCodec codec = new PeerCodec(settings.secret(), settings.maxMessageBytes());
        this.factory = new PeerMessageFactory(settings.instance(), time);
        this.outbox = new PeerOutbox(time, settings.bytesPerSecond(), observer::onEntryDropped);
        this.sender = new PeerMessageSender(
                factory, codec, clockOffsets, outbox, transport, observer, () -> roundsCount <= STATE_REQUEST_ROUNDS);
        this.outboxFlush = new OutboxFlush(outbox, relayTracker, sender);
        this.stateSender = new StateSender(time, store, settings.maxMessageBytes() / 2, outbox, factory, sender);
        this.receiver = new RelayMessageReceiver(
                settings,
                time,
                new PeerMessageReader(codec, time, observer),
                new TransitTimes(settings.instance(), clockOffsets, observer),
                relayTracker,
                store,
                outbox,
                stateSender,
                subscriptions);
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
        stateSender.addSource(topic, entries, ttlMillis);
    }

    /**
     * Called when a connection to another instance was opened.
     *
     * @param member the instance, not null
     */
    public void onConnected(PeerMember member) {
        if (isRelay() || !usesRelays()) {
            stateSender.onConnected(member, roundsCount);
        }
    }

    /**
     * Requests all state from other instances, because the platform rejects this instance's calls and it has no state
     * to serve from. The request goes to the instance's relay or, from a relay, to those of the other data centres. It
     * also goes to one other instance of the own data centre, a different one each time, since the relay may be
     * rejected as well.
     */
    public void requestState() {
        List<PeerEntry> request = List.of(
                factory.createEntry(PeerTopic.WANT, settings.instance(), Bytes.EMPTY, STATE_REQUEST_TTL_MILLIS));
        sender.send(
                request,
                isRelay()
                        ? relayTracker.inOtherDataCentres()
                        : relayTracker.ownRelayMember().stream().toList());
        List<PeerMember> localPeers = relayTracker.localPeers();
        if (!localPeers.isEmpty()) {
            sender.send(request, List.of(localPeers.get(stateRequestCount++ % localPeers.size())));
        }
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
        List<PeerEntry> entries = List.of(factory.createEntry(topic, key, payload, ttlMillis));
        sender.send(entries, relayTracker.localPeers());
        if (toOtherDataCentres && isRelay()) {
            sender.send(entries, relayTracker.inOtherDataCentres());
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
        sender.send(List.of(factory.createEntry(topic, "", payload, DIRECT_TTL_MILLIS)), recipients);
    }

    /**
     * Tells the others that this process stops, so that another instance becomes the relay at once if this is it, and
     * none of them waits for this one to take over.
     */
    public void leave() {
        relayTracker.leave();
        sendLeaveNotice();
    }

    private void sendLeaveNotice() {
        if (usesRelays()) {
            List<PeerEntry> notice = List.of(factory.createEntry(
                    PeerTopic.INSTANCE_LEAVES, settings.instance(), Bytes.EMPTY, DIRECT_TTL_MILLIS));
            sender.send(notice, relayTracker.localPeers());
            if (isRelay()) {
                sender.send(notice, relayTracker.inOtherDataCentres());
            }
        }
    }

    @Override
    public void publish(PeerTopic topic, String key, Bytes payload, long ttlMillis) {
        PeerEntry entry = factory.createEntry(topic, key, payload, ttlMillis);
        store.add(entry, time.monotonicMillis(), 0);
        TopicAudiences.ofPublished(topic, usesRelays(), isRelay()).forEach(audience -> outbox.add(audience, entry));
    }

    @Override
    public void subscribe(PeerTopic topic, Consumer<PeerUpdate> listener) {
        subscriptions.add(topic, listener);
    }

    private void runRound() {
        // Scheduled first: a failure in one round must not be the end of all rounds.
        time.schedule(settings.roundMillis(), this::runRound);
        roundsCount++;
        relayTracker.updateMembers(members.get());
        if (roundsCount % EXPIRY_ROUNDS == 0) {
            store.expire(time.monotonicMillis());
        }
        relayTracker.expireSilentMembers();
        roundTasks.forEach(Runnable::run);
        stateSender.retryPending(relayTracker::hasMessageFrom, roundsCount);
        boolean isRelay = isRelay();
        boolean hasChanged = isRelay != wasRelay;
        if (hasChanged) {
            wasRelay = isRelay;
            LogEvent.of("relay_changed")
                    .with("acting", isRelay)
                    .with("relay", relayTracker.inOwnDataCentre().orElseGet(settings::instance))
                    .with("rank", relayTracker.ownRank())
                    .info(log);
        }
        // In its first round each instance of a fleet that starts at once may count as the relay.
        boolean takesOver = hasChanged && roundsCount > 1;
        if (isRelay && (takesOver || isHeartbeatRound())) {
            publishHeartbeat();
        }
        if (relayTracker.isLeaving() && roundsCount % LEAVE_NOTICE_ROUNDS == 0) {
            sendLeaveNotice();
        }
        outboxFlush.run(isRelay, roundsCount);
        stateSender.sendPendingSnapshots();
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

    /**
     * Processes a message from the transport.
     *
     * @param received the encoded message, not null
     * @return whether it was accepted; a connection that delivers a refused message is closed
     */
    public boolean receive(Bytes received) {
        return receiver.receive(received);
    }
}
