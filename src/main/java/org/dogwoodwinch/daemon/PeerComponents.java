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

/** The daemon's message exchange with the other instances, and the components that depend only on it. */
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
     * Creates the components. Nothing is sent until {@link #start()} is called.
     *
     * @param settings the daemon's settings, not null
     * @param context the clock, event loops and random generators of the process, not null
     * @param directory provides the list of the other instances, not null
     * @param metrics counts refused peer messages, not null
     * @throws IOException if the file with the peer secret or a TLS file cannot be read
     */
    PeerComponents(Settings settings, DaemonContext context, TargetDirectory directory, Metrics metrics)
            throws IOException {
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

    /** Binds the listener for peers and starts the gossip rounds. */
    void start() {
        port = transport.listen(settings.host(), settings.port(), gossipExchange::receive);
        gossipExchange.start();
    }

    /** Stops the gossip rounds and closes the connections to peers. */
    void stop() {
        gossipExchange.stop();
        transport.close();
    }

    /** Returns the port on which the other instances connect, zero before {@link #start()}. */
    int port() {
        return port;
    }

    /** Returns the publish/subscribe bus between the instances. */
    PeerBus bus() {
        return gossipExchange;
    }

    /** Returns the gossip exchange, which determines whether an incarnation of an instance is alive. */
    GossipExchange gossipExchange() {
        return gossipExchange;
    }

    /** Returns the targets that refused requests because they are leaving the fleet. */
    LeavingTargets leavingTargets() {
        return leavingTargets;
    }

    /** Returns the record of when an update of each other instance was last received. */
    PeerLastSeenTracker lastSeenTracker() {
        return lastSeenTracker;
    }

    /** Returns the registry of requests suspected of crashing targets. */
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
                // The other half of the bandwidth budget is reserved for messages received from peers.
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

    /**
     * Creates the TLS context of the listener for peers. It requires client certificates, because whoever may connect
     * can change this instance's view of the fleet.
     */
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
            throw new IOException(
                    "peers.tls.clientCaFile is missing: it is required to verify the certificates of peers");
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
