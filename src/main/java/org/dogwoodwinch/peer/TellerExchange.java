package org.dogwoodwinch.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The notice board of a fleet in which one instance of each data centre, its teller, passes on what the others say. Used
 * on one event loop alone.
 *
 * <p>Load: told by each to each, messages grow with the square of the fleet; passed on at random, word of what is under
 * way is older than the calls it is about. Here an instance sends one message a round to its teller and gets one back;
 * tellers send theirs to each other. What one instance spends does not grow with the fleet, what a teller spends grows
 * with its data centre alone. A small fleet needs no teller for this: each tells each at once.
 *
 * <p>Failure: the teller dies, freezes or is cut off, and nobody hears anything. Whoever has heard no teller before it in
 * the order of succession for a while acts as one, the next in order first; two that both act for a moment say the same
 * things twice. Nothing that must be agreed or kept goes this way.
 */
public final class TellerExchange implements PeerBoard {

    private static final Logger log = LoggerFactory.getLogger(TellerExchange.class);

    /** A teller is missed after so many rounds: three of its words lost, or a pause as garbage collection makes. */
    private static final int SILENT_ROUNDS = 7;

    /** The rounds that each further one in the order of succession waits longer, so that one after the other acts. */
    private static final int STAGGER_ROUNDS = 1;

    /** Beyond so many places in the order nobody waits longer: tellers that die in a row must not add up to seconds. */
    private static final int MOST_STAGGERS = 3;

    /** A teller's word without news, and an instance's to its teller: two of them may be lost before it is missed. */
    private static final int TELLERS_WORD_ROUNDS = 2;

    private static final int OWN_WORD_ROUNDS = 3;

    /** An instance that was not heard for so long is not counted on for duties; longer than a pause or a lost packet. */
    private static final int ALIVE_ROUNDS = 10;

    private static final int NEWCOMER_ROUNDS = 3;

    /** An instance that read the platform's list says a word to its teller within three rounds. */
    private static final int OWED_ROUNDS = 4;

    private static final long REPLAY_WINDOW_MILLIS = 300_000;

    /** What tellers pass on to their own data centre and, where it comes from there, to the other tellers. */
    private static final Set<PeerTopic> TOLD_TO_ALL = Set.of(
            PeerTopic.QUARANTINE,
            PeerTopic.LEAVING,
            PeerTopic.BROKEN_TARGET,
            PeerTopic.TARGET_LIMIT,
            PeerTopic.SHARED_PARTS);

    private final PeerSettings settings;
    private final TimeSource time;
    private final PeerTransport transport;
    private final Supplier<List<PeerMember>> members;
    private final PeerObserver observer;
    private final Succession succession;
    private final OwnDuties ownDuties;
    private final PeerCodec codec;
    private final PeerItemStore store = new PeerItemStore();
    private final Map<PeerTopic, List<Consumer<PeerItem>>> listeners = new EnumMap<>(PeerTopic.class);
    private final Map<String, long[]> lastNumbers = new HashMap<>();
    private final Map<String, Long> heardAtMillis = new HashMap<>();
    private final Map<String, Long> answeredStarts = new HashMap<>();
    private final Map<String, Teller> tellers = new HashMap<>();
    private final List<PeerEntry> toCentre = new ArrayList<>();
    private final List<PeerEntry> toTellers = new ArrayList<>();
    private final List<PeerEntry> toOwnTeller = new ArrayList<>();
    private final List<PeerEntry> toAll = new ArrayList<>();
    private final List<Runnable> onRound = new ArrayList<>();
    private final Map<PeerTopic, ForNewcomers> forNewcomers = new EnumMap<>(PeerTopic.class);
    private final Map<String, Owed> owed = new HashMap<>();
    private final long startedMillis;
    private Set<String> toldAlive = Set.of();
    private long toldAliveAtMillis = Long.MIN_VALUE;
    private long nextVersion = 1;
    private long nextNumber = 1;
    private long roundsCount;
    private int wantsCount;
    private long firstRoundMillis = Long.MIN_VALUE;
    private long wordToTellerRound;
    private boolean wasActing;
    private List<PeerMember> others = List.of();
    private List<PeerMember> centre = List.of();
    private int ownRank;

    /**
     * Creates an exchange; {@link #start()} makes it send.
     *
     * @param settings what may be set; a fleet with no more others than neighbours needs no tellers, not null
     * @param time the clock and timers, not null
     * @param transport carries messages, not null
     * @param members the other instances as the platform lists them, asked for at each round, not null
     * @param observer hears of traffic, not null
     */
    public TellerExchange(
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
        this.succession = new Succession(settings.dataCentre(), settings.instance());
        this.ownDuties = new OwnDuties(succession);
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
     * Says whether the fleet is so large that loads go by tellers.
     *
     * @return false while each tells each
     */
    public boolean byTellers() {
        return others.size() > settings.neighbours();
    }

    /**
     * Says whether this instance is its data centre's teller now.
     *
     * @return whether no instance before it was heard to be one of late
     */
    public boolean acting() {
        return ownTeller().isEmpty();
    }

    /**
     * Says whether a teller gives its sign of life in this round: what else is told to all then goes in the same message.
     *
     * @return whether this is such a round
     */
    public boolean tellersRound() {
        return roundsCount % TELLERS_WORD_ROUNDS == 0;
    }

    /**
     * Returns this instance's place in the order of succession.
     *
     * @return zero for the first
     */
    public int ownRank() {
        return ownRank;
    }

    /**
     * Says whether another instance of this data centre stands before this one.
     *
     * @param name its name, not null
     * @return whether it does
     */
    public boolean before(String name) {
        return succession.before(name);
    }

    /**
     * Says whether a duty that one instance of each data centre does falls to this one.
     *
     * @param key what the duty is about, not null
     * @return whether no other instance that is believed alive ranks higher for it
     */
    public boolean fallsToOwn(String key) {
        return ownDuties.fallsToOwn(key);
    }

    /**
     * Says whether a duty that one instance of the whole fleet does falls to this one: the one of the tellers that ranks
     * highest for it.
     *
     * @param key what the duty is about, not null
     * @return whether this instance acts as a teller, and no other teller that was heard of late ranks higher
     */
    public boolean fleetsDutyFallsToOwn(String key) {
        List<String> heard = tellers.values().stream()
                .filter(teller -> recent(teller.atMillis, SILENT_ROUNDS))
                .map(Teller::name)
                .toList();
        return acting() && succession.fallsToOwn(key, heard);
    }

    /**
     * Says whether an instance is one of this data centre.
     *
     * @param name its name, not null
     * @return whether it is this one, or is listed in this data centre
     */
    public boolean ofOwnCentre(String name) {
        return name.equals(settings.instance())
                || centre.stream().anyMatch(member -> member.name().equals(name));
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
        forNewcomers.put(topic, new ForNewcomers(all, keepMillis));
    }

    /**
     * Hears of a new connection to another instance.
     *
     * @param member the instance, not null
     */
    public void connected(PeerMember member) {
        if (acting() || !byTellers()) {
            owed.put(member.name(), new Owed(member, roundsCount));
            tellEverything(member);
        }
    }

    /**
     * Asks others for all that they know: the platform turns this instance away, and it has nothing to serve by. The one
     * that tells it, and of its data centre each time another one, since the teller may be turned away as well.
     */
    public void wantEverything() {
        List<PeerEntry> want = List.of(own(PeerTopic.WANT, settings.instance(), Bytes.EMPTY, 1));
        send(
                want,
                acting()
                        ? tellersOfOthers()
                        : ownTeller().flatMap(this::member).stream().toList());
        if (!centre.isEmpty()) {
            send(want, List.of(centre.get(wantsCount++ % centre.size())));
        }
    }

    /** Returns whether there was anything to tell newcomers. */
    private boolean tellEverything(PeerMember member) {
        boolean[] told = new boolean[1];
        send(store.all(time.monotonicMillis(), settings.maxMessageBytes() / 2), List.of(member));
        forNewcomers.forEach((topic, kept) -> kept.all.get().forEach((key, payload) -> {
            told[0] = true;
            PeerEntry entry = own(topic, key, payload, kept.keepMillis);
            send(List.of(entry), List.of(member));
        }));
        return told[0];
    }

    /**
     * Tells everything once more to those that were silent since they were connected to.
     *
     * <p>Failure: all instances start at once, and the platform answers some of them. When these connected to the others
     * they knew nothing yet; those that are turned away know nobody whom they could ask.
     */
    private void payOwed() {
        owed.values().removeIf(each -> heardAtMillis.containsKey(each.member.name()));
        owed.values()
                .removeIf(each -> roundsCount - each.sinceRound >= OWED_ROUNDS
                        && (roundsCount - each.sinceRound) % OWED_ROUNDS == 0
                        && tellEverything(each.member));
    }

    /**
     * Tells the own data centre at once: what the platform's bounds count for may not wait for a round.
     *
     * @param topic the topic, not null
     * @param key what it is about, not null
     * @param payload what is told, not null
     * @param keepMillis how long it may be of use
     * @param abroad whether the tellers of the other data centres are told too
     */
    public void publishAtOnce(PeerTopic topic, String key, Bytes payload, long keepMillis, boolean abroad) {
        List<PeerEntry> entries = List.of(own(topic, key, payload, keepMillis));
        send(entries, centre);
        if (abroad && acting()) {
            send(entries, tellersOfOthers());
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
            (acting() || !byTellers() ? toCentre : toOwnTeller).add(entry);
        } else if (topic == PeerTopic.ALIVE) {
            toCentre.add(entry);
            toTellers.add(entry);
        } else if (topic == PeerTopic.CENTRE_LOAD) {
            toTellers.add(entry);
        } else if (topic == PeerTopic.FLEET_LOAD) {
            toCentre.add(entry);
        } else if (!byTellers()) {
            toAll.add(entry);
        } else if (!acting()) {
            toOwnTeller.add(entry);
        } else if (topic != PeerTopic.LOAD) {
            toCentre.add(entry);
            toTellers.add(entry);
        }
    }

    @Override
    public void subscribe(PeerTopic topic, Consumer<PeerItem> listener) {
        listeners.get(topic).add(listener);
    }

    private void runRound() {
        roundsCount++;
        if (firstRoundMillis == Long.MIN_VALUE && !others.isEmpty()) {
            firstRoundMillis = time.monotonicMillis();
        }
        lookAtMembers();
        store.expire(time.monotonicMillis());
        heardAtMillis.values().removeIf(atMillis -> !recent(atMillis, ALIVE_ROUNDS));
        onRound.forEach(Runnable::run);
        payOwed();
        boolean acts = acting();
        if (acts != wasActing) {
            wasActing = acts;
            LogEvent.of("teller_changed")
                    .with("acting", acts)
                    .with("teller", ownTeller().orElseGet(settings::instance))
                    .with("rank", ownRank)
                    .info(log);
        }
        if (acts && tellersRound()) {
            sayWhoIsAlive();
        }
        flush(acts);
        time.schedule(settings.roundMillis(), this::runRound);
    }

    /** Once a round: the list is asked for several times by each message and call, and changes within seconds. */
    private void lookAtMembers() {
        others = List.copyOf(members.get());
        centre = others.stream()
                .filter(member -> member.dataCentre().equals(settings.dataCentre()))
                .toList();
        ownRank = succession.ownRank(centre);
        ownDuties.among(alive());
    }

    private void flush(boolean acts) {
        sendAndClear(toAll, others);
        sendAndClear(toTellers, tellersOfOthers());
        if (acts && !toOwnTeller.isEmpty()) {
            // It was for a teller that has gone silent since.
            toCentre.addAll(toOwnTeller);
            toOwnTeller.clear();
        }
        sendAndClear(toCentre, centre);
        boolean wordDue = roundsCount - wordToTellerRound >= OWN_WORD_ROUNDS;
        if (!acts && (wordDue || !toOwnTeller.isEmpty())) {
            wordToTellerRound = roundsCount;
            send(
                    List.copyOf(toOwnTeller),
                    ownTeller().flatMap(this::member).stream().toList());
            toOwnTeller.clear();
        }
    }

    private void sayWhoIsAlive() {
        if (centre.isEmpty()) {
            return;
        }
        Bytes names = NameList.encode(new TreeSet<>(aliveByHearing()));
        publish(PeerTopic.ALIVE, settings.dataCentre(), names, ALIVE_ROUNDS * settings.roundMillis());
    }

    /** By the teller's word where there is a recent one, else those heard here: at a teller, or where there is none. */
    private Set<String> alive() {
        if (!acting() && recent(toldAliveAtMillis, ALIVE_ROUNDS)) {
            return toldAlive;
        }
        return aliveByHearing();
    }

    private Set<String> aliveByHearing() {
        Set<String> names = new HashSet<>();
        for (PeerMember member : centre) {
            Long atMillis = heardAtMillis.get(member.name());
            if (atMillis != null && recent(atMillis, ALIVE_ROUNDS)) {
                names.add(member.name());
            }
        }
        names.add(settings.instance());
        return names;
    }

    private boolean recent(long atMillis, int rounds) {
        return atMillis != Long.MIN_VALUE && time.monotonicMillis() - atMillis < rounds * settings.roundMillis();
    }

    /** The instance of this data centre that acts as its teller, where that is another one. */
    private Optional<String> ownTeller() {
        int patienceRounds = SILENT_ROUNDS + STAGGER_ROUNDS * Math.min(MOST_STAGGERS, Math.max(0, ownRank - 1));
        Teller teller = tellers.get(settings.dataCentre());
        if (teller == null || !succession.before(teller.name)) {
            return presumedTeller(patienceRounds);
        }
        return recent(teller.atMillis, patienceRounds) ? Optional.of(teller.name) : Optional.empty();
    }

    /**
     * Who is the teller while none was heard yet: the first in order is given as long as one that falls silent.
     *
     * <p>Load: a fleet that starts at once. Each instance took itself for the teller until it heard one, and opened a
     * connection to each other one of its data centre.
     */
    private Optional<String> presumedTeller(int patienceRounds) {
        return byTellers() && recent(firstRoundMillis, patienceRounds)
                ? Succession.first(settings.dataCentre(), centre)
                        .map(PeerMember::name)
                        .filter(succession::before)
                : Optional.empty();
    }

    private Optional<PeerMember> member(String name) {
        return others.stream().filter(member -> member.name().equals(name)).findFirst();
    }

    private List<PeerMember> tellersOfOthers() {
        Map<String, List<PeerMember>> centres = new HashMap<>();
        for (PeerMember member : others) {
            if (!member.dataCentre().equals(settings.dataCentre())) {
                centres.computeIfAbsent(member.dataCentre(), _name -> new ArrayList<>())
                        .add(member);
            }
        }
        List<PeerMember> found = new ArrayList<>();
        centres.forEach((where, there) -> {
            Teller heard = tellers.get(where);
            Optional<PeerMember> known = heard == null || !recent(heard.atMillis, SILENT_ROUNDS)
                    ? Optional.empty()
                    : there.stream()
                            .filter(member -> member.name().equals(heard.name))
                            .findFirst();
            known.or(() -> Succession.first(where, there)).ifPresent(found::add);
        });
        return found;
    }

    private void sendAndClear(List<PeerEntry> entries, List<PeerMember> to) {
        if (!entries.isEmpty()) {
            send(List.copyOf(entries), to);
            entries.clear();
        }
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
                roundsCount <= NEWCOMER_ROUNDS,
                entries));
        for (PeerEntry entry : entries) {
            topicOf(entry.topic()).ifPresent(topic -> observer.onTold(topic, PeerCodec.sizeOf(entry), to.size()));
        }
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
        if (isReplayed(message)) {
            observer.onRefused(PeerRefusal.REPLAYED);
            return false;
        }
        heardAtMillis.put(message.sender(), time.monotonicMillis());
        for (PeerEntry entry : message.items()) {
            accept(entry, message.sender());
        }
        boolean firstWord = message.newcomer()
                && !Long.valueOf(message.startedMillis())
                        .equals(answeredStarts.put(message.sender(), message.startedMillis()));
        if (firstWord && (acting() || !byTellers())) {
            // Without the wish to be answered: two newcomers would send each other everything without end.
            member(message.sender())
                    .ifPresent(newcomer ->
                            send(store.all(time.monotonicMillis(), settings.maxMessageBytes() / 2), List.of(newcomer)));
        }
        return true;
    }

    private void accept(PeerEntry entry, String sender) {
        Optional<PeerTopic> topic = topicOf(entry.topic());
        if (topic.isEmpty()
                || entry.origin().equals(settings.instance())
                || !store.accept(entry, time.monotonicMillis(), 0)) {
            return;
        }
        if (topic.get() == PeerTopic.ALIVE) {
            heardTeller(entry, sender);
        }
        if (topic.get() == PeerTopic.WANT) {
            member(sender).ifPresent(this::tellEverything);
            return;
        }
        if (acting() && byTellers()) {
            passOn(entry, topic.get(), sender);
        }
        PeerItem item = new PeerItem(
                entry.origin(), topic.get(), entry.key(), entry.version(), entry.payload(), entry.ageMillis());
        listeners.get(topic.get()).forEach(listener -> listener.accept(item));
    }

    private void passOn(PeerEntry entry, PeerTopic topic, String sender) {
        boolean ours = member(sender)
                .filter(member -> member.dataCentre().equals(settings.dataCentre()))
                .isPresent();
        if (TOLD_TO_ALL.contains(topic)) {
            toCentre.add(entry);
            if (ours) {
                toTellers.add(entry);
            }
        } else if (topic == PeerTopic.KEPT_PARTS && ours) {
            toCentre.add(entry);
        }
    }

    /** The first in order that was heard of late; its word tells who is alive in its data centre. */
    private void heardTeller(PeerEntry entry, String sender) {
        String where = entry.key();
        Teller known = tellers.get(where);
        boolean ownCentre = where.equals(settings.dataCentre());
        boolean later = known != null
                && !known.name.equals(sender)
                && recent(known.atMillis, SILENT_ROUNDS)
                && Succession.before(where, known.name, sender);
        if (!later && entry.origin().equals(sender)) {
            tellers.put(where, new Teller(sender, time.monotonicMillis()));
        }
        if (ownCentre && !later && succession.before(sender)) {
            try {
                toldAlive = NameList.decode(entry.payload());
                toldAliveAtMillis = time.monotonicMillis();
            } catch (IOException e) {
                LogEvent.of("alive_not_understood")
                        .with("peer", sender)
                        .with("error", e.getMessage())
                        .warn(log);
            }
        }
    }

    /** A recorded message played again could bring back a word that has expired since. */
    private boolean isReplayed(PeerMessage message) {
        if (Math.abs(time.wallMillis() - message.sentMillis()) > REPLAY_WINDOW_MILLIS) {
            return true;
        }
        long[] last = lastNumbers.get(message.sender());
        if (last != null && last[0] == message.startedMillis() && message.number() <= last[1]) {
            return true;
        }
        lastNumbers.put(message.sender(), new long[] {message.startedMillis(), message.number()});
        return false;
    }

    /** A topic that a newer version of this program added is passed over. */
    private static Optional<PeerTopic> topicOf(String name) {
        for (PeerTopic topic : PeerTopic.values()) {
            if (topic.name().equals(name)) {
                return Optional.of(topic);
            }
        }
        return Optional.empty();
    }

    private record Teller(String name, long atMillis) {}

    private record Owed(PeerMember member, long sinceRound) {}

    private record ForNewcomers(Supplier<Map<String, Bytes>> all, long keepMillis) {}
}
