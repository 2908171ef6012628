package org.dogwoodwinch.forwarding;

import java.util.Objects;

/**
 * Another instance, which may take over calls.
 *
 * @param name its name, not null
 * @param host its IP address, not null
 * @param port the port on which it receives messages and calls of other instances
 * @param dataCentre its data centre, not null
 */
public record Neighbour(String name, String host, int port, String dataCentre) {

    /** Validates the components. */
    public Neighbour {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
    }
}
