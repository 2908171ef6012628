package org.dogwoodwinch.peer;

import java.util.Objects;

/**
 * Another instance that messages can be sent to.
 *
 * @param name its name in the platform's list, not null
 * @param host its IP number, not null
 * @param peerPort the port on which it takes messages
 * @param dataCentre the data centre it stands in, not null
 * @param linkMbps what its link carries, in megabits a second; zero where that is not known
 */
public record PeerMember(String name, String host, int peerPort, String dataCentre, double linkMbps) {

    /** Checks the parts. */
    public PeerMember {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }

    /**
     * Creates a member whose link is not known.
     *
     * @param name its name in the platform's list, not null
     * @param host its IP number, not null
     * @param peerPort the port on which it takes messages
     * @param dataCentre the data centre it stands in, not null
     */
    public PeerMember(String name, String host, int peerPort, String dataCentre) {
        this(name, host, peerPort, dataCentre, 0);
    }

    /** By hand, as a start is short of processor time; see {@link org.dogwoodwinch.forwarding.Incarnation#equals}. */
    @Override
    public boolean equals(Object other) {
        return other instanceof PeerMember that
                && name.equals(that.name)
                && host.equals(that.host)
                && peerPort == that.peerPort
                && Double.compare(linkMbps, that.linkMbps) == 0
                && dataCentre.equals(that.dataCentre);
    }

    @Override
    public int hashCode() {
        return 31 * name.hashCode() + host.hashCode();
    }
}
