package org.dogwoodwinch.daemon;

import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import org.dogwoodwinch.peer.PeerBus;
import org.dogwoodwinch.peer.PeerTopic;
import org.dogwoodwinch.peer.PeerUpdate;
import org.dogwoodwinch.time.TimeSource;

/** Notes when something of each other instance was last heard, by whatever way it came. Thread-safe. */
final class PeerWatch {

    private static final long NEVER = -1;

    private final TimeSource time;
    private final Map<String, Long> heardAtMillis = new ConcurrentHashMap<>();

    /**
     * Creates a watch and listens to the board.
     *
     * @param board the notice board, not null
     * @param time gives the time, not null
     */
    PeerWatch(PeerBus board, TimeSource time) {
        this.time = Objects.requireNonNull(time, "time");
        board.subscribe(PeerTopic.MEMBER, this::heard);
        board.subscribe(PeerTopic.LOAD, this::heard);
    }

    /**
     * Returns how long ago an instance was heard of.
     *
     * @param name its name, not null
     * @return milliseconds, -1 where it never was
     */
    long heardMillis(String name) {
        Long atMillis = heardAtMillis.get(name);
        return atMillis == null ? NEVER : Math.max(0, time.monotonicMillis() - atMillis);
    }

    private void heard(PeerUpdate item) {
        heardAtMillis.merge(item.origin(), time.monotonicMillis() - item.ageMillis(), Math::max);
    }
}
