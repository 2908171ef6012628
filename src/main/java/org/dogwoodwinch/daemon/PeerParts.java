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
final class PeerParts {

    private static final long SUSPECT_MILLIS = 600_000;
    private static final long LEAVING_KEPT_MILLIS = 10_000;

    private final PeerSettings settings;
    private final NettyPeerTransport transport;
    private final GossipExchange exchange;
    private final LeavingTargets leaving;
    private final PeerWatch watch;
    private final SuspectRegistry suspects;
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
    PeerParts(Settings settings, DaemonContext context, TargetDirectory directory, Metrics metrics) throws IOException {
        this.settings = settings.peers();
        String name = settings.instance().name();
        this.transport = new NettyPeerTransport(
                Transport.ofNio(context.group()),
                this.settings.maxFrameBytes(),
                serverTls(this.settings.tls()),
                clientTls(this.settings.tls()));
        this.exchange = new GossipExchange(
                exchangeSettings(settings),
                context.time(),
                context.newRandom(),
                transport,
                () -> members(directory, name),
                new RefusalCounter(metrics));
        this.leaving = new LeavingTargets(exchange, context.time(), LEAVING_KEPT_MILLIS);
        this.watch = new PeerWatch(exchange, context.time());
        SuspicionExchange suspicions = new SuspicionExchange(exchange);
        this.suspects = new SuspectRegistry(
                context.time(), SUSPECT_MILLIS, settings.requests().quarantineMillis(), suspicions);
        suspicions.subscribe(suspects);
    }

    /** Listens and begins the rounds. */
    void start() {
        port = transport.listen(settings.host(), settings.port(), exchange::receive);
        exchange.start();
    }

    /** Ends the rounds and closes the connections. */
    void stop() {
        exchange.stop();
        transport.close();
    }

    /** Returns where the other instances connect. */
    int port() {
        return port;
    }

    /** Returns the notice board. */
    PeerBus board() {
        return exchange;
    }

    /** Returns the exchange, which knows which starts of instances are alive. */
    GossipExchange exchange() {
        return exchange;
    }

    /** Returns the targets that refused because they are leaving. */
    LeavingTargets leaving() {
        return leaving;
    }

    /** Returns what tells when each instance was last heard of. */
    PeerWatch watch() {
        return watch;
    }

    /** Returns the suspects. */
    SuspectRegistry suspects() {
        return suspects;
    }

    private static org.dogwoodwinch.peer.PeerSettings exchangeSettings(Settings settings) throws IOException {
        PeerSettings own = settings.peers();
        return new org.dogwoodwinch.peer.PeerSettings(
                settings.instance().name(),
                settings.instance().dataCentre(),
                Files.readString(Path.of(own.secretFile())).strip(),
                own.roundMillis(),
                own.neighboursCount(),
                // Half of the budget is for what the others send here.
                (int) Math.min(Integer.MAX_VALUE, own.bytesPerSecond() / 2),
                own.maxFrameBytes());
    }

    private static List<PeerMember> members(TargetDirectory directory, String ownName) {
        return directory.latest().stream()
                .filter(line -> line.kind() == ListedInstance.Kind.ENTRY && line.peerPort() != 0)
                .filter(line -> !line.name().equals(ownName))
                .map(line -> new PeerMember(line.name(), line.host(), line.peerPort(), line.dataCentre()))
                .toList();
    }

    /** Both sides show a certificate: who may connect may also tell the instance what it believes. */
    private static Optional<SslContext> serverTls(Optional<TlsSettings> own) throws IOException {
        if (own.isEmpty()) {
            return Optional.empty();
        }
        TlsSettings files = withClientCa(own.get());
        return Optional.of(TlsContexts.forServer(
                Path.of(files.certificateFile()),
                Path.of(files.keyFile()),
                Optional.of(Path.of(files.clientCaFile()))));
    }

    private static Optional<SslContext> clientTls(Optional<TlsSettings> own) throws IOException {
        if (own.isEmpty()) {
            return Optional.empty();
        }
        TlsSettings files = withClientCa(own.get());
        return Optional.of(TlsContexts.forClient(
                Path.of(files.certificateFile()), Path.of(files.keyFile()), Path.of(files.clientCaFile())));
    }

    private static TlsSettings withClientCa(TlsSettings files) throws IOException {
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
