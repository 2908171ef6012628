package org.dogwoodwinch.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.KvCacheIndex;
import org.dogwoodwinch.logging.LogEvent;
import org.dogwoodwinch.time.TimeSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the index of parts by what engines tell of their memory. A question that got no answer is asked again a round
 * later; what is believed meanwhile costs reading time at worst.
 *
 * <p>Failure: engines keep their newest changes alone. An instance that starts, or was away for a while, never hears of
 * the older ones: what engines keep is read a second time, and what they dropped is counted on. The engine says that
 * changes are missing, and its whole list makes up for them.
 */
public final class CacheWatch {

    private static final Logger log = LoggerFactory.getLogger(CacheWatch.class);

    /**
     * The pause between two questions for a whole list of one engine: the list costs a probe and holds up the engine, and
     * an instance that hears too little of an engine would ask all the time.
     */
    private static final long LIST_PAUSE_MILLIS = 5_000;

    /** The longest pause after questions without an answer: an engine that came back is heard within it. */
    private static final long MAX_BACKOFF_MILLIS = 4_000;

    private static final int MAX_DOUBLINGS = 10;

    private final EngineControl control;
    private final KvCacheIndex cacheIndex;
    private final Supplier<List<Incarnation>> engines;
    private final Predicate<String> polledHere;
    private final CacheListener listener;
    private final TimeSource time;
    private final long roundMillis;
    private final Map<String, EngineState> engineStates = new HashMap<>();

    /**
     * Creates a watch that does not ask yet.
     *
     * @param control asks engines, not null
     * @param parts what it keeps, not null
     * @param engines the engines in use, looked up each round, not null
     * @param ownDuty whether an engine, by its id, is asked from here; for the others the instance that asks tells what it
     *     hears, not null
     * @param listener hears what the engines tell, not null
     * @param time schedules the rounds, not null
     * @param roundMillis the time between two questions to one engine
     */
    public CacheWatch(
            EngineControl control,
            KvCacheIndex parts,
            Supplier<List<Incarnation>> engines,
            Predicate<String> ownDuty,
            CacheListener listener,
            TimeSource time,
            long roundMillis) {
        this.control = Objects.requireNonNull(control, "control");
        this.cacheIndex = Objects.requireNonNull(parts, "parts");
        this.engines = Objects.requireNonNull(engines, "engines");
        this.polledHere = Objects.requireNonNull(ownDuty, "ownDuty");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.time = Objects.requireNonNull(time, "time");
        this.roundMillis = roundMillis;
    }

    /** Asks from now on. */
    public void start() {
        pollAll();
    }

    private void pollAll() {
        Set<String> ids = new HashSet<>();
        for (Incarnation engine : engines.get()) {
            ids.add(engine.id());
            if (polledHere.test(engine.id())) {
                poll(engine);
            } else if (engineStates.remove(engine.id()) != null) {
                listener.unwatched(engine.id());
            }
        }
        engineStates.keySet().removeIf(id -> {
            boolean gone = !ids.contains(id);
            if (gone) {
                listener.unwatched(id);
            }
            return gone;
        });
        cacheIndex.retainEngines(ids);
        time.schedule(roundMillis, this::pollAll);
    }

    private void poll(Incarnation engine) {
        EngineState state = engineStates.get(engine.id());
        if (state != null && state.startedMillis != engine.startedMillis()) {
            // What an earlier start said, or still says, is of no use; nor is the number it was asked up to.
            engineStates.remove(engine.id());
            cacheIndex.removeEngine(engine.id());
            listener.listed(engine.id());
            state = null;
        }
        if (state == null) {
            state = new EngineState(engine.startedMillis());
            engineStates.put(engine.id(), state);
        }
        poll(engine, state);
    }

    private void poll(Incarnation engine, EngineState state) {
        if (state.requestPending || time.monotonicMillis() < state.nextPollMillis) {
            return;
        }
        state.requestPending = true;
        control.cacheChanges(engine, state.nextNumber).thenAccept(changes -> {
            state.requestPending = false;
            if (engineStates.get(engine.id()) != state) {
                return;
            }
            if (changes.isEmpty()) {
                backOff(state);
            } else {
                state.failuresInARow = 0;
                applyChanges(engine, state, changes.get());
            }
        });
    }

    /** An engine answers a few such questions at once and refuses the others, and each refusal costs it work. */
    private void backOff(EngineState state) {
        long doubled = roundMillis << Math.min(state.failuresInARow, MAX_DOUBLINGS);
        state.failuresInARow++;
        state.nextPollMillis = time.monotonicMillis() + Math.min(MAX_BACKOFF_MILLIS, doubled);
    }

    private void applyChanges(Incarnation engine, EngineState state, CacheChanges received) {
        if (state.epoch.isPresent() && !state.epoch.get().equals(received.epoch())) {
            cacheIndex.removeEngine(engine.id());
            listener.listed(engine.id());
        }
        state.epoch = Optional.of(received.epoch());
        state.nextNumber = received.nextNumber();
        for (CacheChanges.CacheChange change : received.changes()) {
            cacheIndex.setCachedTokens(engine.id(), change.partId(), change.keptTokens());
            listener.changed(engine.id(), change.partId(), change.keptTokens());
        }
        if (received.gap() && time.monotonicMillis() >= state.nextListMillis) {
            state.nextListMillis = time.monotonicMillis() + LIST_PAUSE_MILLIS;
            requestList(engine, state);
        }
    }

    /** The next question waits for the list: changes that come after it are told from its number on. */
    private void requestList(Incarnation engine, EngineState state) {
        state.requestPending = true;
        control.cacheList(engine).thenAccept(list -> {
            state.requestPending = false;
            LogEvent.of("engine_cache_listed")
                    .with("target", engine.id())
                    .with("parts", list.map(received -> received.parts().size()).orElse(-1))
                    .info(log);
            if (engineStates.get(engine.id()) == state) {
                list.ifPresent(received -> applyList(engine.id(), state, received));
            }
        });
    }

    private void applyList(String engineId, EngineState state, CacheList received) {
        cacheIndex.removeEngine(engineId);
        state.epoch = Optional.of(received.epoch());
        state.nextNumber = received.nextNumber();
        received.parts().forEach(part -> cacheIndex.setCachedTokens(engineId, part.partId(), part.keptTokens()));
        listener.listed(engineId);
    }

    private static final class EngineState {
        private final long startedMillis;
        private boolean requestPending;
        private long nextNumber;
        private long nextPollMillis = Long.MIN_VALUE;
        private int failuresInARow;
        private long nextListMillis = Long.MIN_VALUE;
        private Optional<String> epoch = Optional.empty();

        EngineState(long bornMillis) {
            this.startedMillis = bornMillis;
        }
    }
}
