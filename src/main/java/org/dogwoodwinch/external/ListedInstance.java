package org.dogwoodwinch.external;

import java.util.Objects;

/**
 * One line of the platform's instance list.
 *
 * @param name the instance's name, unique in the list, not null
 * @param kind what runs on it
 * @param host the IP number to reach it by, not null
 * @param port the port of its main listener
 * @param peerPort the port for exchange between instances of our own; zero elsewhere
 * @param dataCentre the data centre it stands in, not null
 * @param leaving whether the platform is about to take it away
 * @param group for an engine the group it belongs to (its model's fleet), for a plain service the service's name; empty
 *     for instances of our own
 */
public record ListedInstance(
        String name, Kind kind, String host, int port, int peerPort, String dataCentre, boolean leaving, String group) {

    /** What runs on an instance. */
    public enum Kind {
        /** A daemon of this system. */
        ENTRY,
        /** A language-model engine. */
        ENGINE,
        /** A plain service. */
        SERVICE
    }

    /** Checks the parts. */
    public ListedInstance {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(group, "group");
    }
}
