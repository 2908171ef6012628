package org.dogwoodwinch.daemon;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.time.TimeSource;

/** Notes when something of each other instance was last heard, by whatever way it came. Thread-safe. */
final class PeerLastSeenTracker {

    private static final long NEVER = -1;

    private final TimeSource time;
    private final Map<String, Long> lastSeenAtMillis = new ConcurrentHashMap<>();

    /**
     * Creates a watch and listens to the board.
     *
     * @param bus the notice board, not null
     * @param time gives the time, not null
     */
    PeerLastSeenTracker(PeerBus bus, TimeSource time) {
        this.time = Objects.requireNonNull(time, "time");
        bus.subscribe(PeerTopic.MEMBER, this::onUpdate);
        bus.subscribe(PeerTopic.LOAD, this::onUpdate);
    }

    /**
     * Returns how long ago an instance was heard of.
     *
     * @param name its name, not null
     * @return milliseconds, -1 where it never was
     */
    long millisSinceLastSeen(String name) {
        Long seenAtMillis = lastSeenAtMillis.get(name);
        return seenAtMillis == null ? NEVER : Math.max(0, time.monotonicMillis() - seenAtMillis);
    }

    private void onUpdate(PeerUpdate update) {
        lastSeenAtMillis.merge(update.origin(), time.monotonicMillis() - update.ageMillis(), Math::max);
    }
}
