package org.dogwoodwinch.net;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Addresses of IP number and port, without name lookups. */
public final class Addresses {

    private Addresses() {}

    /**
     * Reads an address.
     *
     * @param text IP number, colon, port, not null
     * @return the address
     * @throws IllegalArgumentException if it is none
     */
    public static InetSocketAddress parse(String text) {
        HostAndPort parsed = HostAndPort.fromString(text);
        return of(parsed.getHost(), parsed.getPort());
    }

    /**
     * Makes an address without a name lookup.
     *
     * @param host an IP number, not null
     * @param port the port
     * @return the address
     * @throws IllegalArgumentException if the host is no IP number
     */
    public static InetSocketAddress of(String host, int port) {
        return new InetSocketAddress(InetAddresses.forString(host), port);
    }
}
