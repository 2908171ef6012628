package org.dogwoodwinch.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.dogwoodwinch.time.TimeSource;

/**
 * Tracks the relay of each data centre and the live instances of the own one. Confined to one event loop.
 *
 * <p>Failure: the relay dies, freezes or is cut off, and no instance receives updates. An instance that has received no
 * heartbeat from a predecessor in the succession order for a while takes over, the next in order first; two that act as
 * relay at the same time send the same updates twice.
 */
final class RelayTracker {

    /**
     * The rounds after which a relay counts as failed: three lost heartbeats, or the length of a garbage collection
     * pause.
     */
    private static final int RELAY_TIMEOUT_ROUNDS = 7;

    /**
     * The additional rounds that an instance waits for each live one that precedes it, so that they take over one after
     * the other: one until the predecessor's next round, and one for its first heartbeat to arrive.
     */
    private static final int STAGGER_ROUNDS = 2;

    /**
     * The rounds for which an instance counts as a candidate after a relay has last reported it: a new relay reports
     * the others only after each of them has sent it a message.
     */
    private static final int CANDIDATE_ROUNDS = 30;

    /** The rounds for which a relay that stops still acts while it has not received its successor's heartbeat. */
    private static final int HANDOVER_ROUNDS = 4;

    /**
     * The rounds without a message after which an instance is assigned no tasks; longer than a pause or a lost packet.
     */
    private static final int MEMBER_TIMEOUT_ROUNDS = 10;

    private final PeerSettings settings;
    private final TimeSource time;
    private final RelayCandidates candidates = new RelayCandidates();
    private final SuccessionOrder succession;
    private final TaskAssignment taskAssignment;
    private final Map<String, Long> lastMessageMillis = new HashMap<>();
    private final Map<String, Relay> relays = new HashMap<>();
    private Set<String> reportedAlive = Set.of();
    private long reportedAliveMillis = Long.MIN_VALUE;
    private long firstRoundMillis = Long.MIN_VALUE;
    private List<PeerMember> others = List.of();
    private List<PeerMember> localPeers = List.of();
    private final Map<String, PeerMember> othersByName = new HashMap<>();
    private final Map<String, PeerMember> firstByOtherDataCentre = new HashMap<>();
    private int ownRank;
    private int staggerRounds;
    private boolean leaving;
    private boolean wasRelayBeforeLeaving;
    private long leavingSinceMillis = Long.MIN_VALUE;

    RelayTracker(PeerSettings settings, TimeSource time) {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.time = Objects.requireNonNull(time, "time");
        this.succession =
                new SuccessionOrder(settings.dataCentre(), settings.instance(), settings.linkMbps(), this::isLeaving);
        this.taskAssignment = new TaskAssignment(succession);
    }

    /**
     * Updates the list of other instances. Called once per round, since the list is needed for each message and call,
     * and changes within seconds.
     *
     * <p>Load: in a fleet of a hundred instances, each instance would hash the names of all members several times a
     * second. Everything that follows from the list alone is derived when it changes.
     */
    void updateMembers(List<PeerMember> members) {
        if (firstRoundMillis == Long.MIN_VALUE && !others.isEmpty()) {
            firstRoundMillis = time.monotonicMillis();
        }
        if (!others.equals(members)) {
            others = List.copyOf(members);
            deriveOrder();
        }
        deriveStagger();
        taskAssignment.updateMembers(aliveMembers());
    }

    private void deriveOrder() {
        succession.updateLinks(others);
        List<PeerMember> local = new ArrayList<>();
        othersByName.clear();
        firstByOtherDataCentre.clear();
        for (PeerMember member : others) {
            othersByName.put(member.name(), member);
            if (member.dataCentre().equals(settings.dataCentre())) {
                local.add(member);
            } else {
                firstByOtherDataCentre.merge(member.dataCentre(), member, this::earlierInOrder);
            }
        }
        localPeers = List.copyOf(local);
        ownRank = succession.ownRank(localPeers);
    }

    /** Counts the live predecessors that may take over first; the relay whose heartbeats stop is not one of them. */
    private void deriveStagger() {
        Relay relay = relays.get(settings.dataCentre());
        boolean isRelayKnown = relay != null && succession.isPredecessor(relay.name);
        int precedingCount = 0;
        for (PeerMember member : localPeers) {
            if (succession.isPredecessor(member.name())
                    && isCandidate(member.name())
                    && !(isRelayKnown && member.name().equals(relay.name))) {
                precedingCount++;
            }
        }
        // While no relay is known, the first in order is presumed to be it.
        boolean isRelayCounted = !isRelayKnown && (relay == null || !isLeaving(relay.name));
        staggerRounds = STAGGER_ROUNDS * Math.max(0, isRelayCounted ? precedingCount - 1 : precedingCount);
    }

    private boolean isCandidate(String name) {
        return candidates.isReported(name)
                || lastMessageMillis.containsKey(name)
                || isRecent(firstRoundMillis, CANDIDATE_ROUNDS);
    }

    private boolean isLeaving(String name) {
        return name.equals(settings.instance()) ? leaving : candidates.isLeaving(name);
    }

    /**
     * Lets this instance pass the role on, or not take it over any more, because its process stops.
     *
     * <p>Failure: the others no longer list an instance that stops, and send it no messages. It considered their relay
     * failed, and sent to all of them until its process ended.
     */
    void leave() {
        wasRelayBeforeLeaving = isRelay();
        leaving = true;
        leavingSinceMillis = time.monotonicMillis();
        deriveOrder();
        deriveStagger();
    }

    boolean isLeaving() {
        return leaving;
    }

    /** Records that a process of another instance stops. */
    void onLeave(String name, long startedMillis) {
        if (candidates.onLeave(name, startedMillis, time.monotonicMillis())) {
            deriveOrder();
            deriveStagger();
        }
    }

    private PeerMember earlierInOrder(PeerMember first, PeerMember member) {
        return succession.isPredecessor(member.dataCentre(), member.name(), first.name()) ? member : first;
    }

    /** Sets the names of the instances to which no task of {@link #isAssignedToSelf} is assigned. */
    void updateUnable(Set<String> names) {
        taskAssignment.updateUnable(names);
    }

    /** Removes the timestamps of instances that have been silent for the member time-out. */
    void expireSilentMembers() {
        long oldestMillis = oldestRecentMessageMillis();
        lastMessageMillis.values().removeIf(atMillis -> atMillis <= oldestMillis);
        long oldestReportMillis = time.monotonicMillis() - CANDIDATE_ROUNDS * settings.roundMillis();
        if (candidates.expire(oldestMillis, oldestReportMillis)) {
            deriveOrder();
        }
    }

    /** Read once for all members, since the clock would otherwise be read for each of them in each round. */
    private long oldestRecentMessageMillis() {
        return time.monotonicMillis() - MEMBER_TIMEOUT_ROUNDS * settings.roundMillis();
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
        return Optional.ofNullable(othersByName.get(name));
    }

    boolean inOwnDataCentre(String name) {
        return name.equals(settings.instance()) || isIn(settings.dataCentre(), othersByName.get(name));
    }

    boolean isPredecessor(String name) {
        return succession.isPredecessor(name);
    }

    boolean isAssignedToSelf(String key) {
        return taskAssignment.isAssignedToSelf(key);
    }

    /**
     * Returns whether a task that one instance of the fleet performs is assigned to this one: it is a relay, and no
     * recently active relay ranks higher.
     */
    boolean isFleetTaskAssignedToSelf(String key) {
        List<String> activeRelays = relays.values().stream()
                .filter(relay -> isRecent(relay.heartbeatMillis, RELAY_TIMEOUT_ROUNDS))
                .map(Relay::name)
                .toList();
        return isRelay() && succession.isAssignedToSelf(key, activeRelays);
    }

    /** Returns whether the fleet is so large that it uses relays. */
    boolean usesRelays() {
        return others.size() > settings.fanout();
    }

    /** Returns whether this instance is the relay of its data centre. */
    boolean isRelay() {
        return inOwnDataCentre().isEmpty();
    }

    /** Returns the relay of this data centre, unless it is this instance. */
    Optional<String> inOwnDataCentre() {
        Relay relay = relays.get(settings.dataCentre());
        if (leaving) {
            return relayWhileLeaving(relay);
        }
        int timeoutRounds = RELAY_TIMEOUT_ROUNDS + staggerRounds;
        if (relay == null) {
            return presumedRelay(timeoutRounds);
        }
        if (succession.isPredecessor(relay.name)) {
            return isRecent(relay.heartbeatMillis, timeoutRounds) ? Optional.of(relay.name) : Optional.empty();
        }
        OptionalLong relayLeavesMillis = candidates.leavingSinceMillis(relay.name);
        if (relayLeavesMillis.isPresent() && isRecent(relayLeavesMillis.getAsLong(), staggerRounds)) {
            return Optional.of(relay.name);
        }
        return presumedRelay(timeoutRounds);
    }

    private Optional<String> relayWhileLeaving(Relay relay) {
        boolean hasSuccessor = relay != null && relay.heartbeatMillis >= leavingSinceMillis;
        if (wasRelayBeforeLeaving && !hasSuccessor && isRecent(leavingSinceMillis, HANDOVER_ROUNDS)) {
            return Optional.empty();
        }
        return relay != null && isRecent(relay.heartbeatMillis, RELAY_TIMEOUT_ROUNDS)
                ? Optional.of(relay.name)
                : succession.first(settings.dataCentre(), localPeers).map(PeerMember::name);
    }

    /** Returns the relay of this data centre as a listed member, unless it is this instance. */
    Optional<PeerMember> ownRelayMember() {
        return inOwnDataCentre().flatMap(this::findMember);
    }

    /**
     * Returns the presumed relay while no heartbeat has been received yet: the first in order is given as much time as
     * a relay that falls silent.
     *
     * <p>Load: when a whole fleet started at once, each instance considered itself the relay until it received a
     * heartbeat, and opened a connection to each other instance of its data centre.
     */
    private Optional<String> presumedRelay(int timeoutRounds) {
        return usesRelays() && isRecent(firstRoundMillis, timeoutRounds)
                ? succession
                        .first(settings.dataCentre(), localPeers)
                        .map(PeerMember::name)
                        .filter(succession::isPredecessor)
                : Optional.empty();
    }

    /**
     * Returns the relays of the other data centres; where no heartbeat has been received recently, the first in order
     * is presumed.
     */
    List<PeerMember> inOtherDataCentres() {
        List<PeerMember> result = new ArrayList<>();
        firstByOtherDataCentre.forEach((dataCentre, first) -> {
            Relay lastRelay = relays.get(dataCentre);
            PeerMember active = lastRelay != null && isRecent(lastRelay.heartbeatMillis, RELAY_TIMEOUT_ROUNDS)
                    ? othersByName.get(lastRelay.name)
                    : null;
            result.add(isIn(dataCentre, active) ? active : first);
        });
        return result;
    }

    private static boolean isIn(String dataCentre, PeerMember member) {
        return member != null && member.dataCentre().equals(dataCentre);
    }

    /** Records that a process of an instance sent a message. */
    void onMessageFrom(String name, long startedMillis) {
        if (candidates.onMessage(name, startedMillis)) {
            deriveOrder();
        }
        lastMessageMillis.put(name, time.monotonicMillis());
    }

    boolean hasMessageFrom(String name) {
        return lastMessageMillis.containsKey(name);
    }

    /** Returns the time to live of a heartbeat's list of live instances. */
    long heartbeatTtlMillis() {
        return MEMBER_TIMEOUT_ROUNDS * settings.roundMillis();
    }

    /**
     * Returns the live instances: those that the relay recently reported or, at a relay and without a recent report,
     * the recent senders.
     */
    private Set<String> aliveMembers() {
        if (!isRelay() && isRecent(reportedAliveMillis, MEMBER_TIMEOUT_ROUNDS)) {
            return reportedAlive;
        }
        return recentSenders();
    }

    /** Returns whether any instance has sent a message lately. */
    boolean hasRecentMessage() {
        long oldestMillis = oldestRecentMessageMillis();
        return lastMessageMillis.values().stream().anyMatch(atMillis -> atMillis > oldestMillis);
    }

    Set<String> recentSenders() {
        Set<String> names = new HashSet<>();
        long oldestMillis = oldestRecentMessageMillis();
        for (PeerMember member : localPeers) {
            Long atMillis = lastMessageMillis.get(member.name());
            if (atMillis != null && atMillis > oldestMillis) {
                names.add(member.name());
            }
        }
        names.add(settings.instance());
        return names;
    }

    /**
     * Processes a relay's heartbeat with the live instances of its data centre. The first recently active relay in the
     * succession order counts, however long its messages were in transit: the delay may be on this instance's own link,
     * and must not make it start to send to all others.
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
            candidates.onReport(reportedAlive, reportedAliveMillis);
            deriveStagger();
        }
    }

    private boolean isRecent(long atMillis, int rounds) {
        return atMillis != Long.MIN_VALUE && time.monotonicMillis() - atMillis < rounds * settings.roundMillis();
    }

    private record Relay(String name, long heartbeatMillis) {}
}
