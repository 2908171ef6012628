package org.dogwoodwinch.authority;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwinch.target.EngineState;

/** What engines said of themselves of late, and when they were asked. Not thread-safe. */
final class EngineStateCache {

    private final Map<String, CachedState> statesByEngine = new HashMap<>();
    private final Map<String, Long> lastReadMillis = new HashMap<>();

    /**
     * Notes an engine's state.
     *
     * @param engine the engine, not null
     * @param state its state, not null
     * @param nowMillis the monotonic time in milliseconds
     */
    void put(String engine, EngineState state, long nowMillis) {
        statesByEngine.put(engine, new CachedState(state, nowMillis));
    }

    /**
     * Returns an engine's state if it is young enough.
     *
     * @param engine the engine, not null
     * @param maxAgeMillis the oldest that will do
     * @param nowMillis the monotonic time in milliseconds
     * @return the state, or empty
     */
    Optional<EngineState> get(String engine, long maxAgeMillis, long nowMillis) {
        return Optional.ofNullable(statesByEngine.get(engine))
                .filter(each -> nowMillis - each.readMillis() <= maxAgeMillis)
                .map(CachedState::state);
    }

    /**
     * Forgets an engine's state, because an order is about to change it.
     *
     * @param engine the engine, not null
     */
    void invalidate(String engine) {
        statesByEngine.remove(engine);
    }

    /**
     * Asks whether to ask an engine now; after true it says false until the wait is over.
     *
     * @param engine the engine, not null
     * @param intervalMillis the wait
     * @param nowMillis the monotonic time in milliseconds
     * @return whether to ask
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
