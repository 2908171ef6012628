package org.dogwoodwinch.forwarding;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * The time that the targets of a service typically need for a unit of work: the median of this instance's last
 * observations. Not thread-safe.
 *
 * <p>Failure: all targets of a service become slow at once, each looks slow against an average of the past, and those
 * that were called last are left out. The median of a few observations follows the service within a few calls, while a
 * minority of slow targets does not move it.
 */
final class TypicalTimes {

    private final Map<Key, MedianWindow> windows = new HashMap<>();

    /**
     * Returns the typical time.
     *
     * @param target a target of the service, not null
     * @param kind the kind of work, not null
     * @return the median in milliseconds per unit of work; empty while too few observations are known
     */
    OptionalDouble median(Incarnation target, WorkKind kind) {
        MedianWindow window = windows.get(new Key(target.service(), target.stage(), kind));
        return window == null ? OptionalDouble.empty() : window.median();
    }

    /**
     * Records an observation.
     *
     * @param target the target, not null
     * @param kind the kind of work, not null
     * @param time milliseconds per unit of work
     */
    void record(Incarnation target, WorkKind kind, double time) {
        windows.computeIfAbsent(new Key(target.service(), target.stage(), kind), _key -> new MedianWindow())
                .add(time);
    }

    private record Key(String service, Stage stage, WorkKind kind) {}
}
