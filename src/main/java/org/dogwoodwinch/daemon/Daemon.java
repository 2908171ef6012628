package org.dogwoodwinch.daemon;

import com.google.common.net.InetAddresses;
import io.netty.handler.ssl.SslContext;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.http.CallerEdge;
import org.dogwoodwinch.http.CallerListener;
import org.dogwoodwinch.http.CallerRequestReader;
import org.dogwoodwinch.http.HttpLimits;
import org.dogwoodwinch.http.HttpListener;
import org.dogwoodwinch.http.InFlightRequests;
import org.dogwoodwinch.http.OperatorListener;
import org.dogwoodwinch.http.RequestIds;
import org.dogwoodwinch.http.ServingState;
import org.dogwoodwinch.http.TlsContexts;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.metrics.Metrics;
import org.dogwoodwinch.settings.CallerSettings;
import org.dogwoodwinch.settings.OperatorSettings;
import org.dogwoodwinch.settings.Settings;
import org.dogwoodwinch.settings.TlsSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One instance of the system: connects the components, serves its listeners, and drains requests before it stops. */
public final class Daemon {

    private static final Logger log = LoggerFactory.getLogger(Daemon.class);
    private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;
    private static final int MAX_PATH_BYTES = 8_192;

    private final Settings settings;
    private final DaemonContext context;
    private final Metrics metrics = new Metrics(new PrometheusRegistry());
    private final InFlightRequests inFlight = new InFlightRequests();
    private final DaemonComponents components;
    private volatile ServingState servingState = ServingState.SERVING;
    private HttpListener callerListener;
    private HttpListener operatorListener;

    /**
     * Creates a daemon. It does not listen until {@link #start()} is called.
     *
     * @param settings the daemon's settings, not null
     * @param context the clock, event loops and random generators of the process, not null
     * @throws IOException if the file with the peer secret or a TLS file cannot be read
     */
    public Daemon(Settings settings, DaemonContext context) throws IOException {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.context = Objects.requireNonNull(context, "context");
        this.components = new DaemonComponents(settings, context, metrics);
    }

    /**
     * Starts the components and binds the listeners for callers and operators.
     *
     * @throws IOException if a listener cannot be bound, or a TLS file cannot be read
     */
    public void start() throws IOException {
        components.start();
        callerListener = bindCallerListener(settings.callers());
        operatorListener = bindOperatorListener(settings.operators());
        LogEvent.of("started")
                .with("instance", settings.instance().name())
                .with("dataCentre", settings.instance().dataCentre())
                .with("callersPort", callerListener.port())
                .with("operatorsPort", operatorListener.port())
                .with("peersPort", components.peersPort())
                .info(log);
    }

    /**
     * Returns the port on which callers connect.
     *
     * @return the bound port
     */
    public int callersPort() {
        return callerListener.port();
    }

    /**
     * Returns the port on which operators connect.
     *
     * @return the bound port
     */
    public int operatorsPort() {
        return operatorListener.port();
    }

    /**
     * Stops gracefully. The daemon first reports itself as not ready while it still accepts requests, then refuses new
     * requests, and then waits for the requests in flight up to the drain time limit.
     *
     * @return completes with the number of requests still unfinished at the drain time limit, zero if all finished
     */
    public CompletionStage<Integer> stop() {
        CompletableFuture<Integer> unfinishedRequests = new CompletableFuture<>();
        servingState = ServingState.LEAVING;
        components.releaseLeases();
        LogEvent.of("leaving").with("inFlight", inFlight.count()).info(log);
        context.time().schedule(settings.stop().notReadyMillis(), () -> drain(unfinishedRequests));
        return unfinishedRequests;
    }

    /** Closes all listeners and connections immediately, which aborts requests in flight. */
    public void close() {
        callerListener.close();
        operatorListener.close();
        components.stop();
        LogEvent.of("closed").info(log);
    }

    private void drain(CompletableFuture<Integer> unfinishedRequests) {
        servingState = ServingState.STOPPING;
        long deadlineMillis = context.time().monotonicMillis() + settings.stop().drainMillis();
        LogEvent.of("stopping").with("inFlight", inFlight.count()).info(log);
        awaitDrain(unfinishedRequests, deadlineMillis);
    }

    private void awaitDrain(CompletableFuture<Integer> unfinishedRequests, long deadlineMillis) {
        int unfinishedCount = inFlight.count();
        if (unfinishedCount == 0 || context.time().monotonicMillis() >= deadlineMillis) {
            LogEvent.of("drained").with("left", unfinishedCount).info(log);
            unfinishedRequests.complete(unfinishedCount);
            return;
        }
        context.time().schedule(DRAIN_POLL_INTERVAL_MILLIS, () -> awaitDrain(unfinishedRequests, deadlineMillis));
    }

    private HttpListener bindCallerListener(CallerSettings callerSettings) throws IOException {
        HttpLimits limits = new HttpLimits(
                callerSettings.maxBodyBytes(),
                callerSettings.maxHeaderBytes(),
                Math.min(MAX_PATH_BYTES, callerSettings.maxHeaderBytes()),
                callerSettings.maxConnectionsCount(),
                callerSettings.readTimeoutMillis(),
                callerSettings.idleTimeoutMillis(),
                callerSettings.writeTimeoutMillis());
        CallerEdge edge = new CallerEdge(
                new CallerRequestReader(components.control().catalogue(), () -> servingState, context.time()),
                components.requestHandler(),
                new RequestIds(settings.instance().name(), context.time(), context.newRandom()),
                () -> servingState,
                new EdgeReport(metrics),
                inFlight,
                limits,
                context.time());
        return CallerListener.bind(
                context.eventLoopGroup(),
                address(callerSettings.host(), callerSettings.port()),
                serverTls(callerSettings.tls()),
                edge);
    }

    private HttpListener bindOperatorListener(OperatorSettings operatorSettings) throws IOException {
        OperatorPages pages = new OperatorPages(settings.instance(), metrics, components, inFlight, () -> servingState);
        return OperatorListener.bind(
                context.eventLoopGroup(),
                address(operatorSettings.host(), operatorSettings.port()),
                HttpLimits.STANDARD,
                serverTls(operatorSettings.tls()),
                pages.byPath());
    }

    private static InetSocketAddress address(String host, int port) {
        return new InetSocketAddress(InetAddresses.forString(host), port);
    }

    private static Optional<SslContext> serverTls(Optional<TlsSettings> tlsSettings) throws IOException {
        if (tlsSettings.isEmpty()) {
            return Optional.empty();
        }
        String clientCaFile = tlsSettings.get().clientCaFile();
        try {
            return Optional.of(TlsContexts.forServer(
                    Path.of(tlsSettings.get().certificateFile()),
                    Path.of(tlsSettings.get().keyFile()),
                    clientCaFile.isEmpty() ? Optional.empty() : Optional.of(Path.of(clientCaFile))));
        } catch (IllegalArgumentException e) {
            throw new IOException(
                    "cannot load the TLS certificate, key or CA file of a listener: " + e.getMessage(), e);
        }
    }
}
