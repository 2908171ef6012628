package org.dogwoodwinch.target;

import java.util.Objects;

/**
 * A back end that requests are routed to.
 *
 * @param name its name in the platform's instance list, not null
 * @param host its IP number, not null
 * @param port its port
 * @param dataCentre the data centre it stands in, not null
 * @param group the engine group or the service's name, not null
 */
public record Target(String name, String host, int port, String dataCentre, String group) {

    /** Checks the parts. */
    public Target {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(group, "group");
    }

    /**
     * Returns where the target listens.
     *
     * @return {@code host:port}
     */
    public String address() {
        return host + ":" + port;
    }
}
