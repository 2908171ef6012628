package org.dogwoodwinch.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.Key;
import java.security.KeyStore;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManagerFactory;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** TLS from PEM files, on the callers' listener, with and without certificates of the connecting side. */
class TlsContextsTest {

    private static final char[] PASSWORD = "password".toCharArray();
    private static final String PATH = "GET /nothing HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";

    private static Path certificate;
    private static Path key;
    private static KeyStore store;

    @BeforeAll
    static void makeCertificate(@TempDir Path folder)
            throws IOException, InterruptedException, GeneralSecurityException {
        Path file = folder.resolve("store.p12");
        String keytool =
                Path.of(System.getProperty("java.home"), "bin", "keytool").toString();
        Process process = new ProcessBuilder(List.of(
                        keytool,
                        "-genkeypair",
                        "-alias",
                        "test",
                        "-keyalg",
                        "EC",
                        "-dname",
                        "CN=test",
                        "-validity",
                        "2",
                        "-ext",
                        "san=ip:127.0.0.1",
                        "-storetype",
                        "PKCS12",
                        "-keystore",
                        file.toString(),
                        "-storepass",
                        new String(PASSWORD)))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        assertEquals(0, process.waitFor());
        store = KeyStore.getInstance(file.toFile(), PASSWORD);
        Key privateKey = store.getKey("test", PASSWORD);
        certificate = write(folder, "CERTIFICATE", store.getCertificate("test").getEncoded());
        key = write(folder, "PRIVATE KEY", privateKey.getEncoded());
    }

    @Test
    void callersAreServedOverTls() throws IOException, GeneralSecurityException {
        assertEquals("HTTP/1.1 404", firstBytes(TlsContexts.forServer(certificate, key, Optional.empty()), false));
    }

    @Test
    void aPeerWithACertificateIsLetInWhereOneIsAskedFor() throws IOException, GeneralSecurityException {
        SslContext mutual = TlsContexts.forServer(certificate, key, Optional.of(certificate));
        assertEquals("HTTP/1.1 404", firstBytes(mutual, true));
    }

    /** A stranger without a certificate connects where one is asked for: it gets no byte of an answer. */
    @Test
    void aPeerWithoutACertificateIsKeptOut() throws IOException {
        SslContext mutual = TlsContexts.forServer(certificate, key, Optional.of(certificate));
        assertThrows(IOException.class, () -> firstBytes(mutual, false));
    }

    @Test
    void aFileThatHoldsNoKeyIsRefusedAtStart() {
        assertThrows(
                IllegalArgumentException.class,
                () -> TlsContexts.forServer(certificate, certificate, Optional.empty()));
    }

    private static String firstBytes(SslContext context, boolean withCertificate)
            throws IOException, GeneralSecurityException {
        EdgeFixture edge = new EdgeFixture(new WatchedTime(), new SilentObserver(), Optional.of(context));
        try (SSLSocket socket = (SSLSocket) client(withCertificate)
                .getSocketFactory()
                .createSocket(InetAddress.getLoopbackAddress(), edge.port())) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream().write(PATH.getBytes(StandardCharsets.US_ASCII));
            byte[] bytes = socket.getInputStream().readNBytes(12);
            if (bytes.length == 0) {
                throw new IOException("closed without an answer");
            }
            return new String(bytes, StandardCharsets.US_ASCII);
        } finally {
            edge.close();
        }
    }

    private static SSLContext client(boolean withCertificate) throws GeneralSecurityException, IOException {
        KeyStore trusted = KeyStore.getInstance("PKCS12");
        trusted.load(null, null);
        trusted.setCertificateEntry("test", store.getCertificate("test"));
        TrustManagerFactory trust = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        trust.init(trusted);
        KeyManagerFactory keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
        keys.init(store, PASSWORD);
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(withCertificate ? keys.getKeyManagers() : null, trust.getTrustManagers(), null);
        return context;
    }

    private static Path write(Path folder, String type, byte[] content) throws IOException {
        String base64 = Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(content);
        String pem = "-----BEGIN " + type + "-----\n" + base64 + "\n-----END " + type + "-----\n";
        return Files.writeString(folder.resolve(type.replace(' ', '-') + ".pem"), pem);
    }
}
