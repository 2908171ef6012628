package org.dogwoodwinch.daemon;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.time.TimeSource;

/**
 * Records when each other instance last published a membership or load update, whether the update arrived directly or
 * through other instances. Thread-safe.
 */
final class PeerLastSeenTracker {

    private static final long NEVER = -1;

    private final TimeSource time;
    private final Map<String, Long> lastSeenAtMillis = new ConcurrentHashMap<>();

    /**
     * Creates a tracker and subscribes it to the bus.
     *
     * @param bus the publish/subscribe bus between the instances, not null
     * @param time the clock, not null
     */
    PeerLastSeenTracker(PeerBus bus, TimeSource time) {
        this.time = Objects.requireNonNull(time, "time");
        bus.subscribe(PeerTopic.MEMBER, this::onUpdate);
        bus.subscribe(PeerTopic.LOAD, this::onUpdate);
    }

    /**
     * Returns the time since an instance published its last known update.
     *
     * @param name the instance's name, not null
     * @return the time in milliseconds, or -1 if no update of the instance was received
     */
    long millisSinceLastSeen(String name) {
        Long seenAtMillis = lastSeenAtMillis.get(name);
        return seenAtMillis == null ? NEVER : Math.max(0, time.monotonicMillis() - seenAtMillis);
    }

    private void onUpdate(PeerUpdate update) {
        lastSeenAtMillis.merge(update.origin(), time.monotonicMillis() - update.ageMillis(), Math::max);
    }
}
