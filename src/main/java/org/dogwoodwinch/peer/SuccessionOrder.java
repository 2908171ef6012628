package org.dogwoodwinch.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;
import org.dogwoodwinch.forwarding.RendezvousHash;

/**
 * The order in which the instances of a data centre take over tasks that one of them performs for all. Each instance
 * computes the same order from the members' announcements. Not thread-safe.
 *
 * <p>Failure: the messages that one instance sends for a whole data centre take most of a narrow link, and its calls
 * wait behind them. Instances with the highest bandwidth therefore come first, and those that stop come last.
 */
public final class SuccessionOrder {

    private final String dataCentre;
    private final String ownName;
    private final Predicate<String> isLeaving;
    private final Map<String, Double> linksMbps = new HashMap<>();
    private final Map<String, Map<String, Double>> scoresByDataCentre = new HashMap<>();

    /**
     * Creates an order in which only the own link bandwidth is known.
     *
     * @param dataCentre this instance's data centre, not null
     * @param ownName this instance's name, not null
     * @param ownLinkMbps the bandwidth of its link, in megabits per second; zero if unknown
     */
    public SuccessionOrder(String dataCentre, String ownName, double ownLinkMbps) {
        this(dataCentre, ownName, ownLinkMbps, _name -> false);
    }

    /**
     * Creates an order in which instances that stop come last.
     *
     * @param dataCentre this instance's data centre, not null
     * @param ownName this instance's name, not null
     * @param ownLinkMbps the bandwidth of its link, in megabits per second; zero if unknown
     * @param isLeaving returns whether an instance stops, by its name, not null
     */
    SuccessionOrder(String dataCentre, String ownName, double ownLinkMbps, Predicate<String> isLeaving) {
        this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
        this.ownName = Objects.requireNonNull(ownName, "ownName");
        this.isLeaving = Objects.requireNonNull(isLeaving, "isLeaving");
        linksMbps.put(ownName, ownLinkMbps);
    }

    /**
     * Updates the link bandwidths of the other instances; an instance that is no longer listed keeps its position.
     *
     * @param others the other instances of all data centres, not null
     */
    public void updateLinks(Collection<PeerMember> others) {
        others.forEach(other -> linksMbps.put(other.name(), other.linkMbps()));
    }

    /**
     * Returns whether another instance of this data centre precedes this one.
     *
     * @param name the other instance's name, not null
     * @return whether it is a predecessor
     */
    public boolean isPredecessor(String name) {
        return isPredecessor(dataCentre, name, ownName);
    }

    /**
     * Returns whether one instance of a data centre precedes another one.
     *
     * @param dataCentre the data centre, not null
     * @param candidate the name of the instance that may precede the other one, not null
     * @param other the other instance's name, not null
     * @return whether the candidate precedes the other instance
     */
    boolean isPredecessor(String dataCentre, String candidate, String other) {
        return compare(dataCentre, candidate, other) > 0;
    }

    /**
     * Returns this instance's position.
     *
     * @param others the other instances; those of other data centres are ignored, not null
     * @return zero for the first
     */
    public int ownRank(List<PeerMember> others) {
        int rank = 0;
        for (PeerMember other : others) {
            if (other.dataCentre().equals(dataCentre) && isPredecessor(other.name())) {
                rank++;
            }
        }
        return rank;
    }

    /**
     * Returns the first instance of a data centre.
     *
     * @param dataCentre the data centre, not null
     * @param members the instances to choose from, not null
     * @return the first one of that data centre, empty if there is none
     */
    public Optional<PeerMember> first(String dataCentre, List<PeerMember> members) {
        PeerMember first = null;
        for (PeerMember member : members) {
            if (member.dataCentre().equals(dataCentre)
                    && (first == null || isPredecessor(dataCentre, member.name(), first.name()))) {
                first = member;
            }
        }
        return Optional.ofNullable(first);
    }

    /**
     * Returns whether a task that one of several instances performs is assigned to this one, by rendezvous hashing.
     *
     * @param key the key of the task, not null
     * @param candidates the names of the instances, which may or may not include this one, not null
     * @return whether no other candidate ranks higher for the task
     */
    public boolean isAssignedToSelf(String key, Collection<String> candidates) {
        double ownScore = RendezvousHash.score(key, ownName);
        for (String name : candidates) {
            if (!name.equals(ownName) && RendezvousHash.score(key, name) > ownScore) {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns the name of this instance.
     *
     * @return the name
     */
    String ownName() {
        return ownName;
    }

    /** Compares the names of instances of a data centre; the greater one comes first in the succession order. */
    private int compare(String dataCentre, String name, String otherName) {
        int byPresence = Boolean.compare(!isLeaving.test(name), !isLeaving.test(otherName));
        if (byPresence != 0) {
            return byPresence;
        }
        int byLink = Double.compare(linksMbps.getOrDefault(name, 0.0), linksMbps.getOrDefault(otherName, 0.0));
        return byLink != 0 ? byLink : Double.compare(score(dataCentre, name), score(dataCentre, otherName));
    }

    /** Hashes a name once: the order is asked for each message and in each round, and the scores never change. */
    private double score(String dataCentre, String name) {
        return scoresByDataCentre
                .computeIfAbsent(dataCentre, _dataCentre -> new HashMap<>())
                .computeIfAbsent(name, _name -> RendezvousHash.score(dataCentre, name));
    }
}
