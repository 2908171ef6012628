package org.dogwoodwinch.daemon;

import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.external.ListedInstance;
import org.dogwoodwinch.http.TlsContexts;
import org.dogwoodwinch.metrics.Metrics;
import org.dogwoodwinch.net.Transport;
import org.dogwoodwinch.peer.GossipExchange;
import org.dogwoodwinch.peer.LeavingTargets;
import org.dogwoodwinch.peer.NettyPeerTransport;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.peer.PeerMember;
import org.dogwoodwinch.peer.PeerObserver;
import org.dogwoodwinch.peer.PeerRefusal;
import org.dogwoodwinch.peer.SuspicionExchange;
import org.dogwoodwinch.request.SuspectRegistry;
import org.dogwoodwinch.settings.PeerSettings;
import org.dogwoodwinch.settings.Settings;
import org.dogwoodwinch.settings.TlsSettings;

/** The daemon's exchange with the other instances and what lives by it alone. */
final class PeerComponents {

    private static final long SUSPICION_MILLIS = 600_000;
    private static final long LEAVING_TTL_MILLIS = 10_000;

    private final PeerSettings settings;
    private final NettyPeerTransport transport;
    private final GossipExchange gossipExchange;
    private final LeavingTargets leavingTargets;
    private final PeerLastSeenTracker lastSeenTracker;
    private final SuspectRegistry suspectRegistry;
    private int port;

    /**
     * Builds the parts; nothing is sent yet.
     *
     * @param settings the daemon's settings, not null
     * @param context what the process gives, not null
     * @param directory lists the other instances, not null
     * @param metrics counts refused messages, not null
     * @throws IOException if the secret or a TLS file cannot be read
     */
    PeerComponents(Settings settings, DaemonContext context, TargetDirectory directory, Metrics metrics) throws IOException {
        this.settings = settings.peers();
        String ownName = settings.instance().name();
        this.transport = new NettyPeerTransport(
                Transport.ofNio(context.eventLoopGroup()),
                this.settings.maxFrameBytes(),
                serverTls(this.settings.tls()),
                clientTls(this.settings.tls()));
        this.gossipExchange = new GossipExchange(
                gossipSettings(settings),
                context.time(),
                context.newRandom(),
                transport,
                () -> members(directory, ownName),
                new RefusalCounter(metrics));
        this.leavingTargets = new LeavingTargets(gossipExchange, context.time(), LEAVING_TTL_MILLIS);
        this.lastSeenTracker = new PeerLastSeenTracker(gossipExchange, context.time());
        SuspicionExchange suspicionExchange = new SuspicionExchange(gossipExchange);
        this.suspectRegistry = new SuspectRegistry(
                context.time(), SUSPICION_MILLIS, settings.requests().quarantineMillis(), suspicionExchange);
        suspicionExchange.subscribe(suspectRegistry);
    }

    /** Listens and begins the rounds. */
    void start() {
        port = transport.listen(settings.host(), settings.port(), gossipExchange::receive);
        gossipExchange.start();
    }

    /** Ends the rounds and closes the connections. */
    void stop() {
        gossipExchange.stop();
        transport.close();
    }

    /** Returns where the other instances connect. */
    int port() {
        return port;
    }

    /** Returns the notice board. */
    PeerBus bus() {
        return gossipExchange;
    }

    /** Returns the exchange, which knows which starts of instances are alive. */
    GossipExchange gossipExchange() {
        return gossipExchange;
    }

    /** Returns the targets that refused because they are leaving. */
    LeavingTargets leavingTargets() {
        return leavingTargets;
    }

    /** Returns what tells when each instance was last heard of. */
    PeerLastSeenTracker lastSeenTracker() {
        return lastSeenTracker;
    }

    /** Returns the suspects. */
    SuspectRegistry suspectRegistry() {
        return suspectRegistry;
    }

    private static org.dogwoodwinch.peer.PeerSettings gossipSettings(Settings settings) throws IOException {
        PeerSettings peerSettings = settings.peers();
        return new org.dogwoodwinch.peer.PeerSettings(
                settings.instance().name(),
                settings.instance().dataCentre(),
                Files.readString(Path.of(peerSettings.secretFile())).strip(),
                peerSettings.roundMillis(),
                peerSettings.neighboursCount(),
                // Half of the budget is for what the others send here.
                (int) Math.min(Integer.MAX_VALUE, peerSettings.bytesPerSecond() / 2),
                peerSettings.maxFrameBytes());
    }

    private static List<PeerMember> members(TargetDirectory directory, String ownName) {
        return directory.latestInstances().stream()
                .filter(listed -> listed.kind() == ListedInstance.Kind.ENTRY && listed.peerPort() != 0)
                .filter(listed -> !listed.name().equals(ownName))
                .map(listed -> new PeerMember(listed.name(), listed.host(), listed.peerPort(), listed.dataCentre()))
                .toList();
    }

    /** Both sides show a certificate: who may connect may also tell the instance what it believes. */
    private static Optional<SslContext> serverTls(Optional<TlsSettings> tlsSettings) throws IOException {
        if (tlsSettings.isEmpty()) {
            return Optional.empty();
        }
        TlsSettings files = requireClientCa(tlsSettings.get());
        return Optional.of(TlsContexts.forServer(
                Path.of(files.certificateFile()),
                Path.of(files.keyFile()),
                Optional.of(Path.of(files.clientCaFile()))));
    }

    private static Optional<SslContext> clientTls(Optional<TlsSettings> tlsSettings) throws IOException {
        if (tlsSettings.isEmpty()) {
            return Optional.empty();
        }
        TlsSettings files = requireClientCa(tlsSettings.get());
        return Optional.of(TlsContexts.forClient(
                Path.of(files.certificateFile()), Path.of(files.keyFile()), Path.of(files.clientCaFile())));
    }

    private static TlsSettings requireClientCa(TlsSettings files) throws IOException {
        if (files.clientCaFile().isEmpty()) {
            throw new IOException("peers.tls.clientCaFile is missing: instances show each other certificates");
        }
        return files;
    }

    private static final class RefusalCounter implements PeerObserver {

        private final Metrics metrics;

        RefusalCounter(Metrics metrics) {
            this.metrics = Objects.requireNonNull(metrics, "metrics");
        }

        @Override
        public void onRefused(PeerRefusal refusal) {
            metrics.countEvent("peer_message_refused_" + refusal.label());
        }
    }
}
