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
    private static final int RELAY_MESSAGE_ROUNDS = 2;

    private static final int OWN_MESSAGE_ROUNDS = 3;

    private static final int NEWCOMER_ROUNDS = 3;

    /** Who wants something asks again with its next reading. */
    private static final long WANT_KEEP_MILLIS = 1_000;

    /** What relays pass on to their own data centre and, where it comes from there, to the other relays. */
    private static final Set<PeerTopic> TOLD_TO_ALL =
            Set.of(PeerTopic.QUARANTINE, PeerTopic.LEAVING, PeerTopic.BROKEN_TARGET, PeerTopic.TARGET_LIMIT);

    private final PeerSettings settings;
    private final TimeSource time;
    private final PeerTransport transport;
    private final Supplier<List<PeerMember>> members;
    private final PeerObserver observer;
    private final CentreRelays relays;
    private final ReplayGuard replays;
    private final PeerClocks clocks;
    private final LateMessages lateWords = new LateMessages();
    private final Newcomers newcomers = new Newcomers();
    private final PeerCodec codec;
    private final PeerItemStore store = new PeerItemStore();
    private final Map<PeerTopic, List<Consumer<PeerItem>>> listeners = new EnumMap<>(PeerTopic.class);
    private final PeerOutbox outbox;
    private final Set<PeerMember> storeOwed = new LinkedHashSet<>();
    private final List<Runnable> onRound = new ArrayList<>();
    private final long startedMillis;
    private long nextVersion = 1;
    private long nextNumber = 1;
    private long roundsCount;
    private int wantsCount;
    private long messageToRelayRound;
    private boolean wasActing;

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
        this.relays = new CentreRelays(settings, time);
        this.replays = new ReplayGuard(time);
        this.clocks = new PeerClocks(time);
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
        onRound.add(Objects.requireNonNull(task, "task"));
    }

    /**
     * Says whether the fleet is so large that loads go by relays.
     *
     * @return false while each tells each
     */
    public boolean byRelays() {
        return relays.needed();
    }

    /**
     * Says whether this instance is its data centre's relay now.
     *
     * @return whether no instance before it was heard to be one of late
     */
    public boolean acting() {
        return relays.acting();
    }

    /**
     * Says whether a relay gives its sign of life in this round: what else is told to all then goes in the same message.
     *
     * @return whether this is such a round
     */
    public boolean relaysRound() {
        return roundsCount % RELAY_MESSAGE_ROUNDS == 0;
    }

    /**
     * Returns this instance's place in the order of succession.
     *
     * @return zero for the first
     */
    public int ownRank() {
        return relays.ownRank();
    }

    /**
     * Says whether another instance of this data centre stands before this one.
     *
     * @param name its name, not null
     * @return whether it does
     */
    public boolean before(String name) {
        return relays.before(name);
    }

    /**
     * Says whether a duty that one instance of each data centre does falls to this one.
     *
     * @param key what the duty is about, not null
     * @return whether no other instance that is believed alive ranks higher for it
     */
    public boolean fallsToOwn(String key) {
        return relays.fallsToOwn(key);
    }

    /**
     * Says whether a duty that one instance of the whole fleet does falls to this one: the one of the relays that ranks
     * highest for it.
     *
     * @param key what the duty is about, not null
     * @return whether this instance acts as a relay, and no other relay that was heard of late ranks higher
     */
    public boolean fleetsDutyFallsToOwn(String key) {
        return relays.fleetsDutyFallsToOwn(key);
    }

    /**
     * Says whether an instance is one of this data centre.
     *
     * @param name its name, not null
     * @return whether it is this one, or is listed in this data centre
     */
    public boolean ofOwnCentre(String name) {
        return relays.ofOwnCentre(name);
    }

    /**
     * Tells everything of a topic to each instance that this one has just been connected to: it may have started anew, and
     * know nobody that it could ask.
     *
     * @param topic the topic, not null
     * @param all what is to be told by key, asked for each time, not null
     * @param keepMillis how long it may be of use
     */
    public void tellNewcomers(PeerTopic topic, Supplier<Map<String, Bytes>> all, long keepMillis) {
        newcomers.tell(topic, all, keepMillis);
    }

    /**
     * Hears of a new connection to another instance.
     *
     * @param member the instance, not null
     */
    public void connected(PeerMember member) {
        if (acting() || !byRelays()) {
            newcomers.connected(member, roundsCount);
            tellEverything(member);
        }
    }

    /**
     * Asks others for all that they know: the platform turns this instance away, and it has nothing to serve by. The one
     * that tells it, and of its data centre each time another one, since the relay may be turned away as well.
     */
    public void wantEverything() {
        List<PeerEntry> want = List.of(own(PeerTopic.WANT, settings.instance(), Bytes.EMPTY, WANT_KEEP_MILLIS));
        send(
                want,
                acting()
                        ? relays.ofOtherCentres()
                        : relays.ofOwnCentre().flatMap(relays::member).stream().toList());
        List<PeerMember> centre = relays.centre();
        if (!centre.isEmpty()) {
            send(want, List.of(centre.get(wantsCount++ % centre.size())));
        }
    }

    /** Returns whether there was anything to tell newcomers. */
    private boolean tellEverything(PeerMember member) {
        storeOwed.add(member);
        payOwedStores();
        return newcomers.forEach((topic, key, payload, keepMillis) ->
                send(List.of(own(topic, key, payload, keepMillis)), List.of(member)));
    }

    /**
     * Tells the own data centre at once: what the platform's bounds count for may not wait for a round.
     *
     * @param topic the topic, not null
     * @param key what it is about, not null
     * @param payload what is told, not null
     * @param keepMillis how long it may be of use
     * @param abroad whether the relays of the other data centres are told too
     */
    public void publishAtOnce(PeerTopic topic, String key, Bytes payload, long keepMillis, boolean abroad) {
        List<PeerEntry> entries = List.of(own(topic, key, payload, keepMillis));
        send(entries, relays.centre());
        if (abroad && acting()) {
            send(entries, relays.ofOtherCentres());
        }
    }

    /**
     * Tells newcomers what is known beside the streams, one after the other as the link has room.
     *
     * <p>Load: a whole data centre starts at once. Everything for everybody would fill a narrow link for seconds.
     */
    private void payOwedStores() {
        Iterator<PeerMember> owed = storeOwed.iterator();
        while (owed.hasNext()) {
            List<PeerEntry> all = store.all(time.monotonicMillis(), settings.maxMessageBytes() / 2);
            if (!outbox.hasRoomFor(all.stream().mapToLong(PeerCodec::sizeOf).sum())) {
                return;
            }
            PeerMember member = owed.next();
            owed.remove();
            send(all, List.of(member));
        }
    }

    private PeerEntry own(PeerTopic topic, String key, Bytes payload, long keepMillis) {
        return new PeerEntry(
                settings.instance(), startedMillis, topic.name(), key, nextVersion++, 0, keepMillis, payload);
    }

    @Override
    public void publish(PeerTopic topic, String key, Bytes payload, long keepMillis) {
        PeerEntry entry = own(topic, key, payload, keepMillis);
        store.accept(entry, time.monotonicMillis(), 0);
        if (topic == PeerTopic.KEPT_PARTS) {
            outbox.add(acting() || !byRelays() ? Audience.OWN_CENTRE : Audience.OWN_RELAY, entry);
        } else if (topic == PeerTopic.ALIVE) {
            outbox.add(Audience.OWN_CENTRE, entry);
            outbox.add(Audience.OTHER_RELAYS, entry);
        } else if (topic == PeerTopic.CENTRE_LOAD) {
            outbox.add(Audience.OTHER_RELAYS, entry);
        } else if (topic == PeerTopic.FLEET_LOAD) {
            outbox.add(Audience.OWN_CENTRE, entry);
        } else if (!byRelays()) {
            outbox.add(Audience.ALL, entry);
        } else if (!acting()) {
            outbox.add(Audience.OWN_RELAY, entry);
        } else if (topic != PeerTopic.LOAD) {
            outbox.add(Audience.OWN_CENTRE, entry);
            outbox.add(Audience.OTHER_RELAYS, entry);
        }
    }

    @Override
    public void subscribe(PeerTopic topic, Consumer<PeerItem> listener) {
        listeners.get(topic).add(listener);
    }

    private void runRound() {
        roundsCount++;
        relays.look(members.get());
        store.expire(time.monotonicMillis());
        relays.forgetSilent();
        onRound.forEach(Runnable::run);
        newcomers.payOwed(relays::wasHeard, roundsCount, this::tellEverything);
        boolean acts = acting();
        if (acts != wasActing) {
            wasActing = acts;
            LogEvent.of("relay_changed")
                    .with("acting", acts)
                    .with("relay", relays.ofOwnCentre().orElseGet(settings::instance))
                    .with("rank", relays.ownRank())
                    .info(log);
        }
        if (acts && relaysRound()) {
            sayWhoIsAlive();
        }
        flush(acts);
        time.schedule(settings.roundMillis(), this::runRound);
    }

    private void flush(boolean acts) {
        flush(Audience.ALL, relays.others());
        flush(Audience.OTHER_RELAYS, relays.ofOtherCentres());
        if (acts) {
            // It was for a relay that has gone silent since.
            outbox.move(Audience.OWN_RELAY, Audience.OWN_CENTRE);
        }
        flush(Audience.OWN_CENTRE, relays.centre());
        if (!acts) {
            tellOwnRelay(relays.ofOwnCentre().flatMap(relays::member).stream().toList());
        }
        payOwedStores();
    }

    private void flush(Audience audience, List<PeerMember> to) {
        if (to.isEmpty()) {
            outbox.clear(audience);
            return;
        }
        List<PeerEntry> entries = outbox.take(audience, to.size());
        if (!entries.isEmpty()) {
            send(entries, to);
        }
    }

    private void tellOwnRelay(List<PeerMember> relay) {
        List<PeerEntry> entries = outbox.take(Audience.OWN_RELAY, relay.size());
        if (!entries.isEmpty() || roundsCount - messageToRelayRound >= OWN_MESSAGE_ROUNDS) {
            messageToRelayRound = roundsCount;
            send(entries, relay);
        }
    }

    private void sayWhoIsAlive() {
        if (relays.centre().isEmpty()) {
            return;
        }
        Set<String> alive = relays.aliveByHearing();
        Map<String, Long> leads = new TreeMap<>(clocks.leadsMillis());
        leads.keySet().removeIf(name -> relays.ofOwnCentre(name) && !alive.contains(name));
        leads.put(settings.instance(), 0L);
        publish(PeerTopic.ALIVE, settings.dataCentre(), new RelayHeartbeat(leads).encode(), relays.aliveMillis());
    }

    /** This process was suspended: what is known of the ways of messages is wrong by that time. */
    public void suspended() {
        clocks.forget();
    }

    private void send(List<PeerEntry> entries, List<PeerMember> to) {
        if (to.isEmpty()) {
            return;
        }
        Bytes encoded = codec.encode(new PeerMessage(
                PeerMessage.VERSION,
                settings.instance(),
                startedMillis,
                nextNumber++,
                time.wallMillis(),
                time.monotonicMillis(),
                to.size() == 1 ? clocks.leadMillis(to.get(0).name()) : Optional.empty(),
                roundsCount <= NEWCOMER_ROUNDS,
                entries));
        for (PeerEntry entry : entries) {
            PeerTopic.named(entry.topic())
                    .ifPresent(topic -> observer.onTold(topic, PeerCodec.sizeOf(entry), to.size()));
        }
        outbox.spent((long) encoded.length() * to.size());
        for (PeerMember member : to) {
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
        boolean[] taken = new boolean[1];
        codec.decode(
                received,
                message -> {
                    observer.onReceived(received.length());
                    taken[0] = take(message);
                },
                observer::onRefused);
        return taken[0];
    }

    private boolean take(PeerMessage message) {
        if (replays.isReplayed(message)) {
            observer.onRefused(PeerRefusal.REPLAYED);
            return false;
        }
        relays.heard(message.sender());
        clocks.heard(message);
        Optional<RelayHeartbeat> aliveWord = aliveWord(message);
        if (message.leadMillis().isPresent()) {
            clocks.told(message.sender(), message.startedMillis(), message.leadMillis());
        } else {
            aliveWord.ifPresent(word ->
                    clocks.told(message.sender(), message.startedMillis(), word.leadMillis(settings.instance())));
        }
        OptionalLong wayMillis = clocks.wayMillis(message);
        wayMillis.ifPresent(millis -> {
            observer.onWay(millis);
            lateWords.came(message.sender(), millis);
        });
        for (PeerEntry entry : message.items()) {
            accept(entry, wayMillis, message.sender(), aliveWord);
        }
        if (newcomers.isFirstWord(message) && (acting() || !byRelays())) {
            // Without the wish to be answered: two newcomers would send each other everything without end.
            relays.member(message.sender()).ifPresent(storeOwed::add);
            payOwedStores();
        }
        return true;
    }

    /** What a relay says of itself and of the clocks of those that it hears, where the message has that. */
    private Optional<RelayHeartbeat> aliveWord(PeerMessage message) {
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

    private void accept(PeerEntry came, OptionalLong wayMillis, String sender, Optional<RelayHeartbeat> aliveWord) {
        PeerEntry entry = came.older(wayMillis.orElse(0));
        Optional<PeerTopic> topic = PeerTopic.named(entry.topic());
        if (topic.isEmpty()
                || entry.origin().equals(settings.instance())
                // What came late is old and still news; its age may be this instance's own way.
                || !store.accept(came, time.monotonicMillis(), 0)) {
            return;
        }
        if (topic.get() == PeerTopic.ALIVE) {
            aliveWord.ifPresent(word -> relays.heardAlive(entry, word, sender));
        }
        if (topic.get() == PeerTopic.WANT) {
            relays.member(sender).ifPresent(this::tellEverything);
            return;
        }
        if (acting() && byRelays()) {
            passOn(entry, topic.get(), sender);
        }
        boolean ageProved = wayMillis.isPresent() && entry.origin().equals(sender);
        PeerItem item = new PeerItem(
                entry.origin(),
                topic.get(),
                entry.key(),
                entry.version(),
                entry.payload(),
                entry.ageMillis(),
                ageProved);
        listeners.get(topic.get()).forEach(listener -> listener.accept(item));
    }

    private void passOn(PeerEntry entry, PeerTopic topic, String sender) {
        boolean ours = relays.member(sender)
                .filter(member -> member.dataCentre().equals(settings.dataCentre()))
                .isPresent();
        if (TOLD_TO_ALL.contains(topic)) {
            outbox.add(Audience.OWN_CENTRE, entry);
            if (ours) {
                outbox.add(Audience.OTHER_RELAYS, entry);
            }
        } else if (topic == PeerTopic.KEPT_PARTS && ours) {
            outbox.add(Audience.OWN_CENTRE, entry);
        }
    }
}
