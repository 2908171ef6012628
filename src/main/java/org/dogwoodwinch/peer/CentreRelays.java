package org.dogwoodwinch.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.dogwoodwinch.time.TimeSource;

/**
 * Who passes words on for each data centre, and who is alive in the own one, as far as it was heard. Used on one event loop
 * alone.
 *
 * <p>Failure: the instance that passes words on dies, freezes or is cut off, and nobody hears anything. Whoever has heard none
 * before it in the order of succession for a while acts, the next in order first; two that both act for a moment say the same
 * things twice.
 */
final class CentreRelays {

    /** A relay is missed after so many rounds: three of its words lost, or a pause as garbage collection makes. */
    private static final int SILENT_ROUNDS = 7;

    /** The rounds that each further one in the order of succession waits longer, so that one after the other acts. */
    private static final int STAGGER_ROUNDS = 1;

    /** Beyond so many places in the order nobody waits longer: relays that die in a row must not add up to seconds. */
    private static final int MOST_STAGGERS = 3;

    /** An instance that was not heard for so long is not counted on for duties; longer than a pause or a lost packet. */
    private static final int ALIVE_ROUNDS = 10;

    private final PeerSettings settings;
    private final TimeSource time;
    private final Succession succession;
    private final OwnDuties ownDuties;
    private final Map<String, Long> heardAtMillis = new HashMap<>();
    private final Map<String, Relay> relays = new HashMap<>();
    private Set<String> toldAlive = Set.of();
    private long toldAliveAtMillis = Long.MIN_VALUE;
    private long firstRoundMillis = Long.MIN_VALUE;
    private List<PeerMember> others = List.of();
    private List<PeerMember> centre = List.of();
    private int ownRank;

    CentreRelays(PeerSettings settings, TimeSource time) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.time = Objects.requireNonNull(time, "time");
        this.succession = new Succession(settings.dataCentre(), settings.instance(), settings.linkMbps());
        this.ownDuties = new OwnDuties(succession);
    }

    /** Takes the other instances. Once a round: the list is asked for by each message and call, and changes within seconds. */
    void look(List<PeerMember> listed) {
        if (firstRoundMillis == Long.MIN_VALUE && !others.isEmpty()) {
            firstRoundMillis = time.monotonicMillis();
        }
        others = List.copyOf(listed);
        succession.look(others);
        centre = others.stream()
                .filter(member -> member.dataCentre().equals(settings.dataCentre()))
                .toList();
        ownRank = succession.ownRank(centre);
        ownDuties.among(alive());
    }

    /** Forgets when instances were heard that were silent for long. */
    void forgetSilent() {
        heardAtMillis.values().removeIf(atMillis -> !recent(atMillis, ALIVE_ROUNDS));
    }

    List<PeerMember> others() {
        return others;
    }

    List<PeerMember> centre() {
        return centre;
    }

    int ownRank() {
        return ownRank;
    }

    Optional<PeerMember> member(String name) {
        return others.stream().filter(member -> member.name().equals(name)).findFirst();
    }

    boolean ofOwnCentre(String name) {
        return name.equals(settings.instance())
                || centre.stream().anyMatch(member -> member.name().equals(name));
    }

    boolean before(String name) {
        return succession.before(name);
    }

    boolean fallsToOwn(String key) {
        return ownDuties.fallsToOwn(key);
    }

    /** Whether a duty that one instance of the fleet does falls to this one: it acts, and no relay heard of late ranks higher. */
    boolean fleetsDutyFallsToOwn(String key) {
        List<String> heard = relays.values().stream()
                .filter(relay -> recent(relay.atMillis, SILENT_ROUNDS))
                .map(Relay::name)
                .toList();
        return acting() && succession.fallsToOwn(key, heard);
    }

    /** Whether the fleet is so large that words go by relays. */
    boolean needed() {
        return others.size() > settings.neighbours();
    }

    /** Whether this instance passes on for its data centre. */
    boolean acting() {
        return ofOwnCentre().isEmpty();
    }

    /** The instance of this data centre that passes on, where that is another one. */
    Optional<String> ofOwnCentre() {
        int patienceRounds = SILENT_ROUNDS + STAGGER_ROUNDS * Math.min(MOST_STAGGERS, Math.max(0, ownRank - 1));
        Relay relay = relays.get(settings.dataCentre());
        if (relay == null || !succession.before(relay.name)) {
            return presumed(patienceRounds);
        }
        return recent(relay.atMillis, patienceRounds) ? Optional.of(relay.name) : Optional.empty();
    }

    /**
     * Who it is while none was heard yet: the first in order is given as long as one that falls silent.
     *
     * <p>Load: a fleet that starts at once. Each instance took itself for the relay until it heard one, and opened a
     * connection to each other one of its data centre.
     */
    private Optional<String> presumed(int patienceRounds) {
        return needed() && recent(firstRoundMillis, patienceRounds)
                ? succession
                        .first(settings.dataCentre(), centre)
                        .map(PeerMember::name)
                        .filter(succession::before)
                : Optional.empty();
    }

    /** Those of the other data centres, presumed where none was heard of late. */
    List<PeerMember> ofOtherCentres() {
        Map<String, List<PeerMember>> centres = new HashMap<>();
        for (PeerMember member : others) {
            if (!member.dataCentre().equals(settings.dataCentre())) {
                centres.computeIfAbsent(member.dataCentre(), _name -> new ArrayList<>())
                        .add(member);
            }
        }
        List<PeerMember> found = new ArrayList<>();
        centres.forEach((where, there) -> {
            Relay heard = relays.get(where);
            Optional<PeerMember> known = heard == null || !recent(heard.atMillis, SILENT_ROUNDS)
                    ? Optional.empty()
                    : there.stream()
                            .filter(member -> member.name().equals(heard.name))
                            .findFirst();
            known.or(() -> succession.first(where, there)).ifPresent(found::add);
        });
        return found;
    }

    /** An instance sent a message. */
    void heard(String name) {
        heardAtMillis.put(name, time.monotonicMillis());
    }

    boolean wasHeard(String name) {
        return heardAtMillis.containsKey(name);
    }

    /** How long the names of those who are alive may be of use. */
    long aliveMillis() {
        return ALIVE_ROUNDS * settings.roundMillis();
    }

    /** By the relay's word where there is a recent one, else those heard here: at a relay, or where there is none. */
    private Set<String> alive() {
        if (!acting() && recent(toldAliveAtMillis, ALIVE_ROUNDS)) {
            return toldAlive;
        }
        return aliveByHearing();
    }

    Set<String> aliveByHearing() {
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

    /**
     * A relay tells who is alive in its data centre. The first in order that was heard of late counts, however long its words
     * were on their way: that may be this instance's own link, on which it should not begin to tell all others.
     */
    void heardAlive(PeerEntry entry, RelayHeartbeat word, String sender) {
        String where = entry.key();
        Relay known = relays.get(where);
        boolean later = known != null
                && !known.name.equals(sender)
                && recent(known.atMillis, SILENT_ROUNDS)
                && succession.before(where, known.name, sender);
        if (!later && entry.origin().equals(sender)) {
            relays.put(where, new Relay(sender, time.monotonicMillis()));
        }
        if (where.equals(settings.dataCentre()) && !later && succession.before(sender)) {
            toldAlive = word.names().stream().filter(this::ofOwnCentre).collect(Collectors.toUnmodifiableSet());
            toldAliveAtMillis = time.monotonicMillis();
        }
    }

    private boolean recent(long atMillis, int rounds) {
        return atMillis != Long.MIN_VALUE && time.monotonicMillis() - atMillis < rounds * settings.roundMillis();
    }

    private record Relay(String name, long atMillis) {}
}
