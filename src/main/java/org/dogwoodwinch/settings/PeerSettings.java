package org.dogwoodwinch.settings;

import java.util.Optional;

/**
 * Exchange with the other instances.
 *
 * @param host the IP number to listen on
 * @param port the port; zero takes a free one
 * @param tls mutual TLS; empty to authenticate by the shared secret alone
 * @param secretFile a file with the secret that all instances share
 * @param roundMillis time between rounds
 * @param neighboursCount neighbours spoken to in a round
 * @param maxFrameBytes the largest message
 * @param bytesPerSecond what exchange may send a second
 */
public record PeerSettings(
        String host,
        int port,
        Optional<TlsSettings> tls,
        String secretFile,
        long roundMillis,
        int neighboursCount,
        int maxFrameBytes,
        long bytesPerSecond) {

    static PeerSettings read(SettingsSection section) {
        return new PeerSettings(
                section.text("host", "127.0.0.1"),
                section.wholeInt("port", 0, 65_535, 8082),
                section.optionalSection("tls", TlsSettings::read),
                section.requiredText("secretFile"),
                section.wholeNumber("roundMillis", 50, 60_000, 500),
                section.wholeInt("neighboursCount", 1, 32, 3),
                section.wholeInt("maxFrameBytes", 1_024, 16_777_216, 1_048_576),
                section.wholeNumber("bytesPerSecond", 1_000, 100_000_000, 7_000));
    }
}
