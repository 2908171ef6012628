package org.dogwoodwinch.settings;

/**
 * TLS of a listener, from PEM files.
 *
 * @param certificateFile the certificate chain
 * @param keyFile the private key, PKCS #8
 * @param clientCaFile certificates that sign clients; empty where clients need none
 */
public record TlsSettings(String certificateFile, String keyFile, String clientCaFile) {

    static TlsSettings read(SettingsSection section) {
        return new TlsSettings(
                section.requiredText("certificateFile"),
                section.requiredText("keyFile"),
                section.text("clientCaFile", ""));
    }
}
