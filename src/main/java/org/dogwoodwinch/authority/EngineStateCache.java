package org.dogwoodwinch.authority;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwinch.target.EngineState;

/** Caches the last state read from each engine and the time of the last read request. Not thread-safe. */
final class EngineStateCache {

    private final Map<String, CachedState> statesByEngine = new HashMap<>();
    private final Map<String, Long> lastReadMillis = new HashMap<>();

    /**
     * Stores the state read from an engine.
     *
     * @param engine the engine, not null
     * @param state its state, not null
     * @param nowMillis the monotonic time in milliseconds
     */
    void put(String engine, EngineState state, long nowMillis) {
        statesByEngine.put(engine, new CachedState(state, nowMillis));
    }

    /**
     * Returns an engine's state unless it is too old.
     *
     * @param engine the engine, not null
     * @param maxAgeMillis the greatest accepted age, in milliseconds
     * @param nowMillis the monotonic time in milliseconds
     * @return the state, or empty if there is none or it is older
     */
    Optional<EngineState> get(String engine, long maxAgeMillis, long nowMillis) {
        return Optional.ofNullable(statesByEngine.get(engine))
                .filter(each -> nowMillis - each.readMillis() <= maxAgeMillis)
                .map(CachedState::state);
    }

    /**
     * Removes an engine's state, because an order is about to change it.
     *
     * @param engine the engine, not null
     */
    void invalidate(String engine) {
        statesByEngine.remove(engine);
    }

    /**
     * Returns whether the state of an engine may be requested now, and if so records the request, so that the next one
     * is allowed only after the interval.
     *
     * @param engine the engine, not null
     * @param intervalMillis the least time between two requests, in milliseconds
     * @param nowMillis the monotonic time in milliseconds
     * @return whether to request the state
     */
    boolean tryStartRead(String engine, long intervalMillis, long nowMillis) {
        if (nowMillis - lastReadMillis.getOrDefault(engine, Long.MIN_VALUE / 2) < intervalMillis) {
            return false;
        }
        lastReadMillis.put(engine, nowMillis);
        return true;
    }

    private record CachedState(EngineState state, long readMillis) {}
}
