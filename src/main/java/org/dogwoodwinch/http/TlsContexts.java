package org.dogwoodwinch.http;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.nio.file.Path;
import java.util.Optional;
import javax.net.ssl.SSLException;

/** Makes TLS contexts from PEM files; at least TLS 1.2. */
public final class TlsContexts {

    private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

    private TlsContexts() {}

    /**
     * Makes the context of a listener.
     *
     * @param certificateChain the certificate chain, PEM, not null
     * @param privateKey its private key, PKCS#8 PEM, not null
     * @param trustedPeers certificates that connecting peers must be signed by, PEM; empty to let everybody connect
     * @return the context
     * @throws SSLException if a file is malformed or its parts do not fit
     * @throws IllegalArgumentException if a file cannot be read or holds no key or certificate
     */
    public static SslContext forServer(Path certificateChain, Path privateKey, Optional<Path> trustedPeers)
            throws SSLException {
        SslContextBuilder builder = SslContextBuilder.forServer(certificateChain.toFile(), privateKey.toFile())
                .protocols(PROTOCOLS);
        trustedPeers.ifPresent(path -> builder.trustManager(path.toFile()).clientAuth(ClientAuth.REQUIRE));
        return builder.build();
    }

    /**
     * Makes the context of an outgoing connection that shows a certificate of its own.
     *
     * @param certificateChain the certificate chain, PEM, not null
     * @param privateKey its private key, PKCS#8 PEM, not null
     * @param trustedPeers certificates that the other side must be signed by, PEM, not null
     * @return the context
     * @throws SSLException if a file is malformed or its parts do not fit
     * @throws IllegalArgumentException if a file cannot be read or holds no key or certificate
     */
    public static SslContext forClient(Path certificateChain, Path privateKey, Path trustedPeers) throws SSLException {
        return SslContextBuilder.forClient()
                .keyManager(certificateChain.toFile(), privateKey.toFile())
                .trustManager(trustedPeers.toFile())
                .protocols(PROTOCOLS)
                .build();
    }
}
