package org.dogwoodwinch.target;

import java.util.Objects;

/**
 * A back end to which requests are routed.
 *
 * @param name the target's name in the platform's instance list, not null
 * @param host the target's IP address, not null
 * @param port the target's port
 * @param dataCentre the target's data centre, not null
 * @param group the engine group or the name of the service, not null
 */
public record Target(String name, String host, int port, String dataCentre, String group) {

    /** Validates the components. */
    public Target {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(group, "group");
    }

    /**
     * Returns the address on which the target listens.
     *
     * @return {@code host:port}
     */
    public String address() {
        return host + ":" + port;
    }
}
