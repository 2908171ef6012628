package org.dogwoodwinch.peer;

import java.util.Objects;

/**
 * Another instance that can receive messages.
 *
 * @param name its name in the platform's list, not null
 * @param host its IP address, not null
 * @param peerPort the port on which it receives messages
 * @param dataCentre its data centre, not null
 * @param linkMbps the bandwidth of its link, in megabits per second; zero if unknown
 */
public record PeerMember(String name, String host, int peerPort, String dataCentre, double linkMbps) {

    /** Checks that no component is null. */
    public PeerMember {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }

    /**
     * Creates a member whose link bandwidth is unknown.
     *
     * @param name its name in the platform's list, not null
     * @param host its IP address, not null
     * @param peerPort the port on which it receives messages
     * @param dataCentre its data centre, not null
     */
    public PeerMember(String name, String host, int peerPort, String dataCentre) {
        this(name, host, peerPort, dataCentre, 0);
    }

    /**
     * Written by hand to save processor time at start-up; see {@link org.dogwoodwinch.forwarding.Incarnation#equals}.
     */
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
