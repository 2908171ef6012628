package org.dogwoodwinch.peer;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.forwarding.Rendezvous;

/**
 * The order in which the instances of a data centre take over what one of them does for all. All of them work it out
 * alike, from their names alone.
 */
public final class Succession {

    private final String dataCentre;
    private final String ownName;

    /**
     * Creates an order.
     *
     * @param dataCentre the data centre, not null
     * @param ownName this instance's name, not null
     */
    public Succession(String dataCentre, String ownName) {
        this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
        this.ownName = Objects.requireNonNull(ownName, "ownName");
    }

    /**
     * Says whether another instance of this data centre stands before this one.
     *
     * @param name the other one's name, not null
     * @return whether it does
     */
    public boolean before(String name) {
        return before(dataCentre, name, ownName);
    }

    /**
     * Says which of two instances of a data centre stands first.
     *
     * @param where the data centre, not null
     * @param one an instance's name, not null
     * @param other another's, not null
     * @return whether the one stands before the other
     */
    static boolean before(String where, String one, String other) {
        return score(where, one) > score(where, other);
    }

    /**
     * Returns this instance's place.
     *
     * @param others the others that are believed to exist, those of other data centres are passed over, not null
     * @return zero for the first
     */
    public int ownRank(List<PeerMember> others) {
        return (int) others.stream()
                .filter(other -> other.dataCentre().equals(dataCentre) && before(other.name()))
                .count();
    }

    /**
     * Returns the first of a data centre.
     *
     * @param where the data centre, not null
     * @param members instances, not null
     * @return the first one of that data centre, empty where there is none
     */
    public static Optional<PeerMember> first(String where, List<PeerMember> members) {
        return members.stream()
                .filter(member -> member.dataCentre().equals(where))
                .max(Comparator.comparingDouble(member -> score(where, member.name())));
    }

    /**
     * Says whether this instance is the one of several that a thing falls to.
     *
     * @param key the thing, not null
     * @param names the instances, this one may be among them or not, not null
     * @return whether no other one ranks higher for the thing
     */
    public boolean fallsToOwn(String key, Collection<String> names) {
        double own = score(key, ownName);
        return names.stream().noneMatch(name -> !name.equals(ownName) && score(key, name) > own);
    }

    private static double score(String key, String name) {
        return Rendezvous.score(key, name);
    }
}
