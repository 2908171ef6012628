package org.dogwoodwinch.http;

import com.google.common.hash.Hashing;
import com.google.common.net.InetAddresses;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwinch.catalogue.ActiveCatalogue;
import org.dogwoodwinch.catalogue.Catalogue;
import org.dogwoodwinch.catalogue.CatalogueEntry;
import org.dogwoodwinch.catalogue.Limits;
import org.dogwoodwinch.catalogue.Owner;
import org.dogwoodwinch.catalogue.TargetGroup;
import org.dogwoodwinch.catalogue.WorkClass;
import org.dogwoodwinch.time.TimeSource;

/** A callers' listener on loopback over a scripted request handler. */
public final class EdgeFixture {

    /** The bearer token of the owner {@code malabar}. */
    public static final String TOKEN = "malabar-token";

    /** Small limits, so that tests reach them with little. */
    public static final HttpLimits LIMITS = new HttpLimits(4_096, 2_048, 1_024, 100, 5_000, 60_000, 30_000);

    private final EventLoopGroup group = new NioEventLoopGroup(2);
    private final HttpListener listener;
    private final HttpClient http = HttpClient.newHttpClient();
    private final ActiveCatalogue catalogue = new ActiveCatalogue();
    private final ScriptedHandler handler = new ScriptedHandler();
    private final InFlightRequests inFlight = new InFlightRequests();
    private volatile ServingState serving = ServingState.SERVING;

    /**
     * Starts the listener with a catalogue in force.
     *
     * @param time runs the timers
     * @param observer hears of requests
     * @param tls encrypts
     */
    public EdgeFixture(TimeSource time, EdgeObserver observer, Optional<SslContext> tls) {
        AtomicInteger ids = new AtomicInteger();
        CallerEdge edge = new CallerEdge(
                new CallerRequestReader(catalogue, () -> serving, time),
                handler,
                () -> "r-" + ids.incrementAndGet(),
                () -> serving,
                observer,
                inFlight,
                LIMITS,
                time);
        try {
            InetSocketAddress address = new InetSocketAddress(InetAddresses.forString("127.0.0.1"), 0);
            listener = CallerListener.bind(group, address, tls, edge);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Puts the standard catalogue in force. */
    public void giveCatalogue() {
        String hash = Hashing.sha256().hashString(TOKEN, StandardCharsets.UTF_8).toString();
        Owner malabar = new Owner("malabar", List.of(hash), Limits.NONE);
        Owner other = new Owner("other", List.of(), Limits.NONE);
        catalogue.replaceIfNewer(new Catalogue(
                7,
                new TreeMap<>(Map.of("malabar", malabar, "other", other)),
                new TreeMap<>(Map.of(
                        "booking", new TargetGroup("booking", TargetGroup.Kind.ENGINE, "m", true),
                        "checks", new TargetGroup("checks", TargetGroup.Kind.SERVICE, "", false))),
                new TreeMap<>(Map.of(
                        "slot", entry("slot", "malabar", "booking"),
                        "foreign", entry("foreign", "other", "booking"),
                        "checks", entry("checks", "malabar", "checks")))));
    }

    private static CatalogueEntry entry(String name, String owner, String group) {
        return new CatalogueEntry(name, owner, WorkClass.STANDARD, group, true, 30_000, new Limits(0, 0, 500, 64));
    }

    /**
     * Changes whether requests are taken.
     *
     * @param newServing the state
     */
    public void setServing(ServingState newServing) {
        serving = newServing;
    }

    /**
     * Returns the scripted handler.
     *
     * @return the handler
     */
    public ScriptedHandler handler() {
        return handler;
    }

    /**
     * Returns the count of requests in flight.
     *
     * @return the count
     */
    public InFlightRequests inFlight() {
        return inFlight;
    }

    /**
     * Returns the port.
     *
     * @return the port
     */
    public int port() {
        return listener.port();
    }

    /**
     * Sends a request with the owner's token.
     *
     * @param method the method
     * @param path the path
     * @param body the body
     * @param headers further headers, name after value
     * @return the answer
     */
    public HttpResponse<String> send(String method, String path, String body, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port() + path))
                .timeout(Duration.ofSeconds(20))
                .method(method, BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        if (List.of(headers).stream().noneMatch("Authorization"::equals)) {
            request.header("Authorization", "Bearer " + TOKEN);
        }
        try {
            return http.send(request.build(), BodyHandlers.ofString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns when the event loops have done everything that was queued before. */
    public void settle() {
        group.forEach(loop -> loop.submit(() -> {}).syncUninterruptibly());
    }

    /** Stops the listener. */
    public void close() {
        listener.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
}
