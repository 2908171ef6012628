package org.dogwoodwinch.daemon;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
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

    private final StreamLifetime lifetime = new StreamLifetime();
    private final LongSupplier longestTimeoutMillis;
    private final TimeSource time;
    private final VersionHistorySharing versions;
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
     * @param time the clock and timers, not null
     */
    StreamComponents(
            String ownName,
            RelayExchange exchange,
            Supplier<List<String>> otherNames,
            Function<String, Set<String>> listedVersions,
            LongSupplier longestTimeoutMillis,
            TimeSource time) {
        this.longestTimeoutMillis = Objects.requireNonNull(longestTimeoutMillis, "longestTimeoutMillis");
        this.time = Objects.requireNonNull(time, "time");
        this.versions = new VersionHistorySharing(
                ownName,
                exchange,
                otherNames,
                listedVersions,
                new SoftwareVersionHistory(this::lifetimeMillis, VIEW_DIFFERENCE_MILLIS),
                time);
        this.begins = new StreamBeginSharing(
                ownName, exchange, otherNames, versions, new StreamBegins(this::lifetimeMillis), lifetime, time);
    }

    /**
     * Starts to observe services, to tell and to answer.
     *
     * @param services supplies the services whose versions are observed, not null
     */
    void start(Supplier<Set<String>> services) {
        versions.start(services);
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

    /** Returns how long a stream may live, including the time by which the views of two instances may differ. */
    private long lifetimeMillis() {
        long nowMillis = time.monotonicMillis();
        lifetime.recordTimeout(longestTimeoutMillis.getAsLong(), nowMillis);
        return lifetime.millis(nowMillis) + VIEW_DIFFERENCE_MILLIS;
    }
}
