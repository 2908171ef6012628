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
 * Keeps the KV cache index up to date by polling the engines for changes. A poll without a response is repeated after a
 * back-off; a stale entry meanwhile costs extra prefill time at worst.
 *
 * <p>Failure: engines retain only their latest changes. An instance that starts, or was disconnected for a while,
 * misses the older ones, so cached segments are prefilled again and evicted segments are expected to be cached. The
 * engine reports that changes are missing, and the instance then requests its complete list.
 */
public final class CacheWatch {

    private static final Logger log = LoggerFactory.getLogger(CacheWatch.class);

    /**
     * Minimum interval between two requests for the complete list of an engine. The list counts as a probe and delays
     * the engine's work, and an instance that keeps missing changes would request it all the time.
     */
    private static final long LIST_PAUSE_MILLIS = 5_000;

    /** Maximum back-off after failed polls, which bounds how long a recovered engine goes without a poll. */
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
     * Creates a watch that does not poll yet.
     *
     * @param control client of the engines' control interfaces, not null
     * @param cacheIndex the index to update, not null
     * @param engines supplies the engines in use, evaluated each round, not null
     * @param polledHere returns whether this instance polls the engine with the given id; the changes of other engines
     *     are received from the instances that poll them, not null
     * @param listener receives the changes that engines report, not null
     * @param time clock and timer of the rounds, not null
     * @param roundMillis the interval between two polls of an engine, in milliseconds
     */
    public CacheWatch(
            EngineControl control,
            KvCacheIndex cacheIndex,
            Supplier<List<Incarnation>> engines,
            Predicate<String> polledHere,
            CacheListener listener,
            TimeSource time,
            long roundMillis) {
        this.control = Objects.requireNonNull(control, "control");
        this.cacheIndex = Objects.requireNonNull(cacheIndex, "cacheIndex");
        this.engines = Objects.requireNonNull(engines, "engines");
        this.polledHere = Objects.requireNonNull(polledHere, "polledHere");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.time = Objects.requireNonNull(time, "time");
        this.roundMillis = roundMillis;
    }

    /** Starts polling. */
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
                listener.onPollingStopped(engine.id());
            }
        }
        engineStates.keySet().removeIf(id -> {
            boolean gone = !ids.contains(id);
            if (gone) {
                listener.onPollingStopped(id);
            }
            return gone;
        });
        cacheIndex.retainEngines(ids);
        time.schedule(roundMillis, this::pollAll);
    }

    private void poll(Incarnation engine) {
        EngineState state = engineStates.get(engine.id());
        if (state != null && state.startedMillis != engine.startedMillis()) {
            // Changes and the sequence number of the earlier incarnation are invalid, even in a response under way.
            engineStates.remove(engine.id());
            cacheIndex.removeEngine(engine.id());
            listener.onReset(engine.id());
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

    /** Delays the next poll: an engine serves only a few polls at a time, and refusing the others costs it work too. */
    private void backOff(EngineState state) {
        long doubled = roundMillis << Math.min(state.failuresInARow, MAX_DOUBLINGS);
        state.failuresInARow++;
        state.nextPollMillis = time.monotonicMillis() + Math.min(MAX_BACKOFF_MILLIS, doubled);
    }

    private void applyChanges(Incarnation engine, EngineState state, CacheChanges received) {
        if (state.epoch.isPresent() && !state.epoch.get().equals(received.epoch())) {
            cacheIndex.removeEngine(engine.id());
            listener.onReset(engine.id());
        }
        state.epoch = Optional.of(received.epoch());
        state.nextNumber = received.nextNumber();
        for (CacheChanges.CacheChange change : received.changes()) {
            cacheIndex.setCachedTokens(engine.id(), change.segmentId(), change.cachedTokens());
            listener.onSegmentChange(engine.id(), change.segmentId(), change.cachedTokens());
        }
        if (received.hasGap() && time.monotonicMillis() >= state.nextListMillis) {
            state.nextListMillis = time.monotonicMillis() + LIST_PAUSE_MILLIS;
            requestList(engine, state);
        }
    }

    /**
     * Requests the complete list. No poll is sent before its response, since the next one continues from its number.
     */
    private void requestList(Incarnation engine, EngineState state) {
        state.requestPending = true;
        control.cacheSnapshot(engine).thenAccept(list -> {
            state.requestPending = false;
            LogEvent.of("engine_cache_listed")
                    .with("target", engine.id())
                    .with(
                            "parts",
                            list.map(received -> received.segments().size()).orElse(-1))
                    .info(log);
            if (engineStates.get(engine.id()) == state) {
                list.ifPresent(received -> applyList(engine.id(), state, received));
            }
        });
    }

    private void applyList(String engineId, EngineState state, CacheSnapshot received) {
        cacheIndex.removeEngine(engineId);
        state.epoch = Optional.of(received.epoch());
        state.nextNumber = received.nextNumber();
        received.segments()
                .forEach(part -> cacheIndex.setCachedTokens(engineId, part.segmentId(), part.cachedTokens()));
        listener.onReset(engineId);
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
