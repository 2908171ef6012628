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
final class RelayTracker {

    /** A relay is missed after so many rounds: three of its words lost, or a pause as garbage collection makes. */
    private static final int RELAY_TIMEOUT_ROUNDS = 7;

    /** The rounds that each further one in the order of succession waits longer, so that one after the other acts. */
    private static final int STAGGER_ROUNDS = 1;

    /** Beyond so many places in the order nobody waits longer: relays that die in a row must not add up to seconds. */
    private static final int MAX_STAGGERS = 3;

    /** An instance that was not heard for so long is not counted on for duties; longer than a pause or a lost packet. */
    private static final int MEMBER_TIMEOUT_ROUNDS = 10;

    private final PeerSettings settings;
    private final TimeSource time;
    private final SuccessionOrder succession;
    private final TaskAssignment taskAssignment;
    private final Map<String, Long> lastMessageMillis = new HashMap<>();
    private final Map<String, Relay> relays = new HashMap<>();
    private Set<String> reportedAlive = Set.of();
    private long reportedAliveMillis = Long.MIN_VALUE;
    private long firstRoundMillis = Long.MIN_VALUE;
    private List<PeerMember> others = List.of();
    private List<PeerMember> localPeers = List.of();
    private int ownRank;

    RelayTracker(PeerSettings settings, TimeSource time) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.time = Objects.requireNonNull(time, "time");
        this.succession = new SuccessionOrder(settings.dataCentre(), settings.instance(), settings.linkMbps());
        this.taskAssignment = new TaskAssignment(succession);
    }

    /** Takes the other instances. Once a round: the list is asked for by each message and call, and changes within seconds. */
    void updateMembers(List<PeerMember> members) {
        if (firstRoundMillis == Long.MIN_VALUE && !others.isEmpty()) {
            firstRoundMillis = time.monotonicMillis();
        }
        others = List.copyOf(members);
        succession.updateLinks(others);
        localPeers = others.stream()
                .filter(member -> member.dataCentre().equals(settings.dataCentre()))
                .toList();
        ownRank = succession.ownRank(localPeers);
        taskAssignment.updateMembers(aliveMembers());
    }

    /** Forgets when instances were heard that were silent for long. */
    void expireSilentMembers() {
        lastMessageMillis.values().removeIf(atMillis -> !isRecent(atMillis, MEMBER_TIMEOUT_ROUNDS));
    }

    List<PeerMember> others() {
        return others;
    }

    List<PeerMember> localPeers() {
        return localPeers;
    }

    int ownRank() {
        return ownRank;
    }

    Optional<PeerMember> findMember(String name) {
        return others.stream().filter(member -> member.name().equals(name)).findFirst();
    }

    boolean inOwnDataCentre(String name) {
        return name.equals(settings.instance())
                || localPeers.stream().anyMatch(member -> member.name().equals(name));
    }

    boolean isPredecessor(String name) {
        return succession.isPredecessor(name);
    }

    boolean isAssignedToSelf(String key) {
        return taskAssignment.isAssignedToSelf(key);
    }

    /** Whether a duty that one instance of the fleet does falls to this one: it acts, and no relay heard of late ranks higher. */
    boolean isFleetTaskAssignedToSelf(String key) {
        List<String> activeRelays = relays.values().stream()
                .filter(relay -> isRecent(relay.heartbeatMillis, RELAY_TIMEOUT_ROUNDS))
                .map(Relay::name)
                .toList();
        return isRelay() && succession.isAssignedToSelf(key, activeRelays);
    }

    /** Whether the fleet is so large that words go by relays. */
    boolean usesRelays() {
        return others.size() > settings.fanout();
    }

    /** Whether this instance passes on for its data centre. */
    boolean isRelay() {
        return inOwnDataCentre().isEmpty();
    }

    /** The instance of this data centre that passes on, where that is another one. */
    Optional<String> inOwnDataCentre() {
        int timeoutRounds = RELAY_TIMEOUT_ROUNDS + STAGGER_ROUNDS * Math.min(MAX_STAGGERS, Math.max(0, ownRank - 1));
        Relay relay = relays.get(settings.dataCentre());
        if (relay == null || !succession.isPredecessor(relay.name)) {
            return presumedRelay(timeoutRounds);
        }
        return isRecent(relay.heartbeatMillis, timeoutRounds) ? Optional.of(relay.name) : Optional.empty();
    }

    /**
     * Who it is while none was heard yet: the first in order is given as long as one that falls silent.
     *
     * <p>Load: a fleet that starts at once. Each instance took itself for the relay until it heard one, and opened a
     * connection to each other one of its data centre.
     */
    private Optional<String> presumedRelay(int timeoutRounds) {
        return usesRelays() && isRecent(firstRoundMillis, timeoutRounds)
                ? succession
                        .first(settings.dataCentre(), localPeers)
                        .map(PeerMember::name)
                        .filter(succession::isPredecessor)
                : Optional.empty();
    }

    /** Those of the other data centres, presumed where none was heard of late. */
    List<PeerMember> inOtherDataCentres() {
        Map<String, List<PeerMember>> membersByDataCentre = new HashMap<>();
        for (PeerMember member : others) {
            if (!member.dataCentre().equals(settings.dataCentre())) {
                membersByDataCentre
                        .computeIfAbsent(member.dataCentre(), _name -> new ArrayList<>())
                        .add(member);
            }
        }
        List<PeerMember> result = new ArrayList<>();
        membersByDataCentre.forEach((dataCentre, candidates) -> {
            Relay lastRelay = relays.get(dataCentre);
            Optional<PeerMember> activeRelay =
                    lastRelay == null || !isRecent(lastRelay.heartbeatMillis, RELAY_TIMEOUT_ROUNDS)
                            ? Optional.empty()
                            : candidates.stream()
                                    .filter(member -> member.name().equals(lastRelay.name))
                                    .findFirst();
            activeRelay.or(() -> succession.first(dataCentre, candidates)).ifPresent(result::add);
        });
        return result;
    }

    /** An instance sent a message. */
    void onMessageFrom(String name) {
        lastMessageMillis.put(name, time.monotonicMillis());
    }

    boolean hasMessageFrom(String name) {
        return lastMessageMillis.containsKey(name);
    }

    /** How long the names of those who are alive may be of use. */
    long heartbeatTtlMillis() {
        return MEMBER_TIMEOUT_ROUNDS * settings.roundMillis();
    }

    /** By the relay's word where there is a recent one, else those heard here: at a relay, or where there is none. */
    private Set<String> aliveMembers() {
        if (!isRelay() && isRecent(reportedAliveMillis, MEMBER_TIMEOUT_ROUNDS)) {
            return reportedAlive;
        }
        return recentSenders();
    }

    Set<String> recentSenders() {
        Set<String> names = new HashSet<>();
        for (PeerMember member : localPeers) {
            Long atMillis = lastMessageMillis.get(member.name());
            if (atMillis != null && isRecent(atMillis, MEMBER_TIMEOUT_ROUNDS)) {
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
    void onHeartbeat(PeerEntry entry, RelayHeartbeat heartbeat, String sender) {
        String dataCentre = entry.key();
        Relay lastRelay = relays.get(dataCentre);
        boolean isOutranked = lastRelay != null
                && !lastRelay.name.equals(sender)
                && isRecent(lastRelay.heartbeatMillis, RELAY_TIMEOUT_ROUNDS)
                && succession.isPredecessor(dataCentre, lastRelay.name, sender);
        if (!isOutranked && entry.origin().equals(sender)) {
            relays.put(dataCentre, new Relay(sender, time.monotonicMillis()));
        }
        if (dataCentre.equals(settings.dataCentre()) && !isOutranked && succession.isPredecessor(sender)) {
            reportedAlive =
                    heartbeat.names().stream().filter(this::inOwnDataCentre).collect(Collectors.toUnmodifiableSet());
            reportedAliveMillis = time.monotonicMillis();
        }
    }

    private boolean isRecent(long atMillis, int rounds) {
        return atMillis != Long.MIN_VALUE && time.monotonicMillis() - atMillis < rounds * settings.roundMillis();
    }

    private record Relay(String name, long heartbeatMillis) {}
}
