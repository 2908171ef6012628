package org.dogwoodwinch.daemon;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.ObjIntConsumer;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.dogwoodwinch.forwarding.SoftwareVersionHistory;
import org.dogwoodwinch.forwarding.StreamBegins;
import org.dogwoodwinch.forwarding.StreamLifetime;
import org.dogwoodwinch.peer.RelayExchange;
import org.dogwoodwinch.relay.StreamOrigins;
import org.dogwoodwinch.time.TimeSource;

/** Constructs the components that find the software version which began a stream. Confined to one event loop. */
final class StreamComponents {

    /** The time by which the views that two instances have of the targets may differ. */
    private static final long VIEW_DIFFERENCE_MILLIS = 3_000;

    /** A target that leaves serves on for the drain time and, at times, many seconds more. */
    static final long REMOVED_SERVES_MILLIS = 30_000;

    /** A process does not know the time-outs and deadlines under which streams began before its start. */
    static final long UNKNOWN_TIMEOUT_MILLIS = 30_000;

    private final StreamLifetime lifetime = new StreamLifetime(VIEW_DIFFERENCE_MILLIS);
    private final LongSupplier longestTimeoutMillis;
    private final RelayExchange exchange;
    private final TimeSource time;
    private final VersionHistorySharing versions;
    private final StreamBeginTelling telling;
    private final StreamBeginSharing begins;

    /**
     * Creates components that tell and hear nothing before {@link #start}.
     *
     * @param ownName the name of this instance, not null
     * @param exchange the bus between the instances, not null
     * @param otherNames supplies the names of the other instances, not null
     * @param listedVersions returns the software versions of a service's listed targets, not null
     * @param longestTimeoutMillis supplies the longest time-out, in the configuration in force, of a route whose streams
     *     may be resumed, in milliseconds, not null
     * @param viewIsOld whether the entries of targets may lack what other instances have read, not null
     * @param onTold receives numbers of streams of which others are told later than at their begin, by what became of
     *     that, not null
     * @param random the source of randomness, not null
     * @param time the clock and timers, not null
     */
    StreamComponents(
            String ownName,
            RelayExchange exchange,
            Supplier<List<String>> otherNames,
            Function<String, Set<String>> listedVersions,
            LongSupplier longestTimeoutMillis,
            BooleanSupplier viewIsOld,
            ObjIntConsumer<String> onTold,
            UniformRandomProvider random,
            TimeSource time) {
        this.longestTimeoutMillis = Objects.requireNonNull(longestTimeoutMillis, "longestTimeoutMillis");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.time = Objects.requireNonNull(time, "time");
        lifetime.recordTimeout(UNKNOWN_TIMEOUT_MILLIS, time.monotonicMillis());
        this.versions = new VersionHistorySharing(
                ownName,
                exchange,
                otherNames,
                listedVersions,
                new SoftwareVersionHistory(this::lifetimeMillis, VIEW_DIFFERENCE_MILLIS, REMOVED_SERVES_MILLIS),
                time);
        StreamBegins known = new StreamBegins(this::lifetimeMillis);
        this.telling = new StreamBeginTelling(
                ownName, exchange, otherNames, versions, known, this::lifetimeMillis, onTold, random.nextLong(), time);
        this.begins = new StreamBeginSharing(
                ownName, exchange, versions, known, telling, lifetime, viewIsOld, random.nextLong(), time);
    }

    /**
     * Starts to observe services, to tell and to answer.
     *
     * @param services supplies the services whose versions are observed, not null
     */
    void start(Supplier<Set<String>> services) {
        exchange.beforeEachRound(this::recordTimeout);
        versions.start(services);
        telling.start();
        begins.start();
    }

    /** Returns the versions that began the streams of all instances. */
    StreamOrigins origins() {
        return begins;
    }

    /** Begins all observations anew, because entries of targets may have come and gone unseen. */
    void beginAnew() {
        versions.beginAnew();
    }

    /** Records the time-out in force, also while nobody asks how long a stream lives. */
    private void recordTimeout() {
        lifetime.recordTimeout(longestTimeoutMillis.getAsLong(), time.monotonicMillis());
    }

    /**
     * Counts the only versions of services for nothing until streams that began before a move of routes have ended.
     *
     * @param services the services to which routes of streams lead now, and led elsewhere before, not null
     * @param configurationVersion the version of the configuration that has moved them
     */
    void onRoutesMoved(Set<String> services, long configurationVersion) {
        versions.onRoutesMoved(services, configurationVersion);
    }

    private long lifetimeMillis() {
        recordTimeout();
        return lifetime.millis(time.monotonicMillis());
    }
}
