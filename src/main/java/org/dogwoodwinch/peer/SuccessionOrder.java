package org.dogwoodwinch.peer;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.Rendezvous;

/**
 * The order in which the instances of a data centre take over what one of them does for all. All of them work it out
 * alike, from what the instances announce. Not thread-safe.
 *
 * <p>Failure: what one sends for all of a data centre takes most of a narrow link, and its calls wait behind it. Those
 * with the widest links stand first.
 */
public final class SuccessionOrder {

    private final String dataCentre;
    private final String ownName;
    private final Map<String, Double> linksMbps = new HashMap<>();

    /**
     * Creates an order in which no link but the own one is known.
     *
     * @param dataCentre the data centre, not null
     * @param ownName this instance's name, not null
     * @param ownLinkMbps what its link carries, in megabits a second; zero where that is not known
     */
    public SuccessionOrder(String dataCentre, String ownName, double ownLinkMbps) {
        this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
        this.ownName = Objects.requireNonNull(ownName, "ownName");
        linksMbps.put(ownName, ownLinkMbps);
    }

    /**
     * Takes what the other instances announce; one that is not heard of any more keeps its place.
     *
     * @param others the others, of all data centres, not null
     */
    public void updateLinks(Collection<PeerMember> others) {
        others.forEach(other -> linksMbps.put(other.name(), other.linkMbps()));
    }

    /**
     * Says whether another instance of this data centre stands before this one.
     *
     * @param name the other one's name, not null
     * @return whether it does
     */
    public boolean isPredecessor(String name) {
        return isPredecessor(dataCentre, name, ownName);
    }

    /**
     * Says which of two instances of a data centre stands first.
     *
     * @param dataCentre the data centre, not null
     * @param candidate an instance's name, not null
     * @param other another's, not null
     * @return whether the one stands before the other
     */
    boolean isPredecessor(String dataCentre, String candidate, String other) {
        return byPriority(dataCentre).compare(candidate, other) > 0;
    }

    /**
     * Returns this instance's place.
     *
     * @param others the others that are believed to exist, those of other data centres are passed over, not null
     * @return zero for the first
     */
    public int ownRank(List<PeerMember> others) {
        return (int) others.stream()
                .filter(other -> other.dataCentre().equals(dataCentre) && isPredecessor(other.name()))
                .count();
    }

    /**
     * Returns the first of a data centre.
     *
     * @param dataCentre the data centre, not null
     * @param members instances, not null
     * @return the first one of that data centre, empty where there is none
     */
    public Optional<PeerMember> first(String dataCentre, List<PeerMember> members) {
        return members.stream()
                .filter(member -> member.dataCentre().equals(dataCentre))
                .max(Comparator.comparing(PeerMember::name, byPriority(dataCentre)));
    }

    /**
     * Says whether this instance is the one of several that a thing falls to.
     *
     * @param key the thing, not null
     * @param candidates the instances, this one may be among them or not, not null
     * @return whether no other one ranks higher for the thing
     */
    public boolean isAssignedToSelf(String key, Collection<String> candidates) {
        double ownScore = Rendezvous.score(key, ownName);
        return candidates.stream().noneMatch(name -> !name.equals(ownName) && Rendezvous.score(key, name) > ownScore);
    }

    /** The greatest stands first. */
    private Comparator<String> byPriority(String dataCentre) {
        return Comparator.<String>comparingDouble(name -> linksMbps.getOrDefault(name, 0.0))
                .thenComparingDouble(name -> Rendezvous.score(dataCentre, name));
    }
}
