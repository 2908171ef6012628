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

/** One instance of the system: wires the parts, listens, and stops without cutting a request. */
public final class Daemon {

    private static final Logger log = LoggerFactory.getLogger(Daemon.class);
    private static final long DRAIN_CHECK_MILLIS = 20;
    private static final int MAX_PATH_BYTES = 8_192;

    private final Settings settings;
    private final DaemonContext context;
    private final Metrics metrics = new Metrics(new PrometheusRegistry());
    private final InFlightRequests inFlight = new InFlightRequests();
    private final DaemonParts parts;
    private volatile ServingState serving = ServingState.SERVING;
    private HttpListener callers;
    private HttpListener operators;

    /**
     * Wires a daemon that does not listen yet.
     *
     * @param settings its settings, not null
     * @param context what the process gives it, not null
     * @throws IOException if the peers' secret or a TLS file cannot be read
     */
    public Daemon(Settings settings, DaemonContext context) throws IOException {
        this.settings = Objects.requireNonNull(settings, "settings");
        this.context = Objects.requireNonNull(context, "context");
        this.parts = new DaemonParts(settings, context, metrics);
    }

    /**
     * Listens, and begins to read the platform's services.
     *
     * @throws IOException if a listener cannot be bound, or a TLS file cannot be read
     */
    public void start() throws IOException {
        parts.start();
        callers = bindCallers(settings.callers());
        operators = bindOperators(settings.operators());
        LogEvent.of("started")
                .with("instance", settings.instance().name())
                .with("dataCentre", settings.instance().dataCentre())
                .with("callersPort", callers.port())
                .with("operatorsPort", operators.port())
                .with("peersPort", parts.peersPort())
                .info(log);
    }

    /**
     * Returns where callers connect.
     *
     * @return the port
     */
    public int callersPort() {
        return callers.port();
    }

    /**
     * Returns where operators connect.
     *
     * @return the port
     */
    public int operatorsPort() {
        return operators.port();
    }

    /**
     * Stops gracefully: not ready first, then nothing new is taken, then what is in flight finishes.
     *
     * @return completes with the number of requests that had not finished within the bound, zero where all had
     */
    public CompletionStage<Integer> stop() {
        CompletableFuture<Integer> stopped = new CompletableFuture<>();
        serving = ServingState.LEAVING;
        parts.release();
        LogEvent.of("leaving").with("inFlight", inFlight.count()).info(log);
        context.time().schedule(settings.stop().notReadyMillis(), () -> drain(stopped));
        return stopped;
    }

    /** Closes listeners and connections at once; requests in flight are cut. */
    public void close() {
        callers.close();
        operators.close();
        parts.stop();
        LogEvent.of("closed").info(log);
    }

    private void drain(CompletableFuture<Integer> stopped) {
        serving = ServingState.STOPPING;
        long untilMillis = context.time().monotonicMillis() + settings.stop().drainMillis();
        LogEvent.of("stopping").with("inFlight", inFlight.count()).info(log);
        waitForRequests(stopped, untilMillis);
    }

    private void waitForRequests(CompletableFuture<Integer> stopped, long untilMillis) {
        int left = inFlight.count();
        if (left == 0 || context.time().monotonicMillis() >= untilMillis) {
            LogEvent.of("drained").with("left", left).info(log);
            stopped.complete(left);
            return;
        }
        context.time().schedule(DRAIN_CHECK_MILLIS, () -> waitForRequests(stopped, untilMillis));
    }

    private HttpListener bindCallers(CallerSettings own) throws IOException {
        HttpLimits limits = new HttpLimits(
                own.maxBodyBytes(),
                own.maxHeaderBytes(),
                Math.min(MAX_PATH_BYTES, own.maxHeaderBytes()),
                own.maxConnectionsCount(),
                own.readTimeoutMillis(),
                own.idleTimeoutMillis(),
                own.writeTimeoutMillis());
        CallerEdge edge = new CallerEdge(
                new CallerRequestReader(parts.control().catalogue(), () -> serving, context.time()),
                parts.handler(),
                new RequestIds(settings.instance().name(), context.time(), context.newRandom()),
                () -> serving,
                new EdgeReport(metrics),
                inFlight,
                limits,
                context.time());
        return CallerListener.bind(context.group(), address(own.host(), own.port()), tls(own.tls()), edge);
    }

    private HttpListener bindOperators(OperatorSettings own) throws IOException {
        OperatorPages pages = new OperatorPages(settings.instance(), metrics, parts, inFlight, () -> serving);
        return OperatorListener.bind(
                context.group(), address(own.host(), own.port()), HttpLimits.STANDARD, tls(own.tls()), pages.byPath());
    }

    private static InetSocketAddress address(String host, int port) {
        return new InetSocketAddress(InetAddresses.forString(host), port);
    }

    private static Optional<SslContext> tls(Optional<TlsSettings> own) throws IOException {
        if (own.isEmpty()) {
            return Optional.empty();
        }
        String trusted = own.get().clientCaFile();
        try {
            return Optional.of(TlsContexts.forServer(
                    Path.of(own.get().certificateFile()),
                    Path.of(own.get().keyFile()),
                    trusted.isEmpty() ? Optional.empty() : Optional.of(Path.of(trusted))));
        } catch (IllegalArgumentException e) {
            throw new IOException("cannot read the TLS files: " + e.getMessage(), e);
        }
    }
}
