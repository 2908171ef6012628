package org.dogwoodwinch.settings;

import java.util.Optional;

/**
 * The callers' listener.
 *
 * @param host the IP number to listen on
 * @param port the port; zero takes a free one
 * @param tls TLS; empty for plain HTTP
 * @param maxBodyBytes the largest body
 * @param maxHeaderBytes the largest request line and header block
 * @param readTimeoutMillis how long a caller may take to send its request
 * @param idleTimeoutMillis how long a connection without a request stays open
 * @param writeTimeoutMillis how long a caller may take no bytes of its answer before it is given up
 * @param maxConnectionsCount connections open at once
 */
public record CallerSettings(
        String host,
        int port,
        Optional<TlsSettings> tls,
        int maxBodyBytes,
        int maxHeaderBytes,
        long readTimeoutMillis,
        long idleTimeoutMillis,
        long writeTimeoutMillis,
        int maxConnectionsCount) {

    static CallerSettings read(SettingsSection section) {
        return new CallerSettings(
                section.text("host", "127.0.0.1"),
                section.wholeInt("port", 0, 65_535, 8080),
                section.optionalSection("tls", TlsSettings::read),
                section.wholeInt("maxBodyBytes", 1_024, 268_435_456, 4_194_304),
                section.wholeInt("maxHeaderBytes", 1_024, 1_048_576, 16_384),
                section.wholeNumber("readTimeoutMillis", 100, 600_000, 10_000),
                section.wholeNumber("idleTimeoutMillis", 100, 3_600_000, 60_000),
                section.wholeNumber("writeTimeoutMillis", 100, 3_600_000, 30_000),
                section.wholeInt("maxConnectionsCount", 1, 1_000_000, 20_000));
    }
}
