package org.dogwoodwinch.peer;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import com.github.benmanes.caffeine.cache.Ticker;
import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.time.TimeSource;

/**
 * The targets that have refused calls because they are leaving, as observed by this instance or reported by another
 * one.
 *
 * <p>The platform's list lags behind, whereas the first refusal reaches all instances within a few rounds. An entry
 * expires, so that a target that has come back is called again. Thread-safe.
 */
public final class LeavingTargets {

    private static final int MAX_TARGETS = 10_000;

    private final PeerBus bus;
    private final long ttlMillis;
    private final Cache<String, Boolean> leaving;

    /**
     * Creates an empty set and subscribes to the reports of other instances.
     *
     * @param bus the publish/subscribe bus, not null
     * @param time the clock, not null
     * @param ttlMillis how long a target counts as leaving after the last refusal or report, in milliseconds
     */
    public LeavingTargets(PeerBus bus, TimeSource time, long ttlMillis) {
        this.bus = Objects.requireNonNull(bus, "bus");
        this.ttlMillis = ttlMillis;
        Ticker ticker = time::monotonicNanos;
        this.leaving = Caffeine.newBuilder()
                .maximumSize(MAX_TARGETS)
                .expireAfterWrite(Duration.ofMillis(ttlMillis))
                .ticker(ticker)
                .executor(Runnable::run)
                .build();
        bus.subscribe(PeerTopic.LEAVING, update -> leaving.put(update.key(), Boolean.TRUE));
    }

    /**
     * Records that a target refused a call because it is leaving.
     *
     * @param targetName the target's name, not null
     */
    public void onRefused(String targetName) {
        if (leaving.getIfPresent(targetName) == null) {
            bus.publish(PeerTopic.LEAVING, targetName, Bytes.EMPTY, ttlMillis);
        }
        leaving.put(targetName, Boolean.TRUE);
    }

    /**
     * Returns the targets that are considered to be leaving.
     *
     * @return a copy of their names
     */
    public Set<String> names() {
        return Set.copyOf(leaving.asMap().keySet());
    }
}
