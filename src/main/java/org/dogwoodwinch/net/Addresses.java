package org.dogwoodwinch.net;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Creates socket addresses from literal IP addresses and ports, without name resolution. */
public final class Addresses {

    private Addresses() {}

    /**
     * Parses an address.
     *
     * @param text the address as {@code ip:port}, not null
     * @return the address
     * @throws IllegalArgumentException if the text is not a literal IP address with a port
     */
    public static InetSocketAddress parse(String text) {
        HostAndPort parsed = HostAndPort.fromString(text);
        return of(parsed.getHost(), parsed.getPort());
    }

    /**
     * Creates an address without name resolution.
     *
     * @param host a literal IP address, not null
     * @param port the port
     * @return the address
     * @throws IllegalArgumentException if the host is not a literal IP address
     */
    public static InetSocketAddress of(String host, int port) {
        return new InetSocketAddress(InetAddresses.forString(host), port);
    }
}
