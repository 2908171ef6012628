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
 * Targets that refused because they are leaving, by this instance's own experience or by another's word.
 *
 * <p>The platform's list lags; the first refusal tells all instances within a few rounds. The word expires: a target that
 * came back is asked again. Thread-safe.
 */
public final class LeavingTargets {

    private static final int MAX_TARGETS = 10_000;

    private final PeerBoard bus;
    private final long ttlMillis;
    private final Cache<String, Boolean> leaving;

    /**
     * Creates the set and listens to the board.
     *
     * @param bus the notice board, not null
     * @param time the clock, not null
     * @param ttlMillis how long a target counts as leaving after the last word, in milliseconds
     */
    public LeavingTargets(PeerBoard bus, TimeSource time, long ttlMillis) {
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
     * A target refused because it is leaving.
     *
     * @param targetName its name, not null
     */
    public void onRefused(String targetName) {
        if (leaving.getIfPresent(targetName) == null) {
            bus.publish(PeerTopic.LEAVING, targetName, Bytes.EMPTY, ttlMillis);
        }
        leaving.put(targetName, Boolean.TRUE);
    }

    /**
     * Returns the targets that are believed to be leaving.
     *
     * @return their names, in a copy
     */
    public Set<String> names() {
        return Set.copyOf(leaving.asMap().keySet());
    }
}
