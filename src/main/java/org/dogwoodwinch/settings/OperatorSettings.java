package org.dogwoodwinch.settings;

import java.util.Optional;

/**
 * The operators' listener: metrics, health, status and control.
 *
 * @param host the IP number to listen on
 * @param port the port; zero takes a free one
 * @param tls TLS; empty for plain HTTP
 */
public record OperatorSettings(String host, int port, Optional<TlsSettings> tls) {

    static OperatorSettings read(SettingsSection section) {
        return new OperatorSettings(
                section.text("host", "127.0.0.1"),
                section.wholeInt("port", 0, 65_535, 8081),
                section.optionalSection("tls", TlsSettings::read));
    }
}
