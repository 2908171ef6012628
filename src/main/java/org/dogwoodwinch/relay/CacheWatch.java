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

    private static final int MOST_DOUBLINGS = 10;

    private final EngineControl control;
    private final KvCacheIndex parts;
    private final Supplier<List<Incarnation>> engines;
    private final Predicate<String> ownDuty;
    private final CacheListener listener;
    private final TimeSource time;
    private final long roundMillis;
    private final Map<String, Reading> readings = new HashMap<>();

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
        this.parts = Objects.requireNonNull(parts, "parts");
        this.engines = Objects.requireNonNull(engines, "engines");
        this.ownDuty = Objects.requireNonNull(ownDuty, "ownDuty");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.time = Objects.requireNonNull(time, "time");
        this.roundMillis = roundMillis;
    }

    /** Asks from now on. */
    public void start() {
        round();
    }

    private void round() {
        Set<String> ids = new HashSet<>();
        for (Incarnation engine : engines.get()) {
            ids.add(engine.id());
            if (ownDuty.test(engine.id())) {
                ask(engine);
            } else if (readings.remove(engine.id()) != null) {
                listener.unwatched(engine.id());
            }
        }
        readings.keySet().removeIf(id -> {
            boolean gone = !ids.contains(id);
            if (gone) {
                listener.unwatched(id);
            }
            return gone;
        });
        parts.retainEngines(ids);
        time.schedule(roundMillis, this::round);
    }

    private void ask(Incarnation engine) {
        Reading reading = readings.get(engine.id());
        if (reading != null && reading.bornMillis != engine.startedMillis()) {
            // What an earlier start said, or still says, is of no use; nor is the number it was asked up to.
            readings.remove(engine.id());
            parts.removeEngine(engine.id());
            listener.listed(engine.id());
            reading = null;
        }
        if (reading == null) {
            reading = new Reading(engine.startedMillis());
            readings.put(engine.id(), reading);
        }
        ask(engine, reading);
    }

    private void ask(Incarnation engine, Reading reading) {
        if (reading.asking || time.monotonicMillis() < reading.askAtMillis) {
            return;
        }
        reading.asking = true;
        control.cacheChanges(engine, reading.nextNumber).thenAccept(changes -> {
            reading.asking = false;
            if (readings.get(engine.id()) != reading) {
                return;
            }
            if (changes.isEmpty()) {
                backOff(reading);
            } else {
                reading.failuresInARow = 0;
                take(engine, reading, changes.get());
            }
        });
    }

    /** An engine answers a few such questions at once and refuses the others, and each refusal costs it work. */
    private void backOff(Reading reading) {
        long doubled = roundMillis << Math.min(reading.failuresInARow, MOST_DOUBLINGS);
        reading.failuresInARow++;
        reading.askAtMillis = time.monotonicMillis() + Math.min(MAX_BACKOFF_MILLIS, doubled);
    }

    private void take(Incarnation engine, Reading reading, CacheChanges told) {
        if (reading.epoch.isPresent() && !reading.epoch.get().equals(told.epoch())) {
            parts.removeEngine(engine.id());
            listener.listed(engine.id());
        }
        reading.epoch = Optional.of(told.epoch());
        reading.nextNumber = told.nextNumber();
        for (CacheChanges.CacheChange change : told.changes()) {
            parts.setCachedTokens(engine.id(), change.partId(), change.keptTokens());
            listener.changed(engine.id(), change.partId(), change.keptTokens());
        }
        if (told.gap() && time.monotonicMillis() >= reading.listAtMillis) {
            reading.listAtMillis = time.monotonicMillis() + LIST_PAUSE_MILLIS;
            askList(engine, reading);
        }
    }

    /** The next question waits for the list: changes that come after it are told from its number on. */
    private void askList(Incarnation engine, Reading reading) {
        reading.asking = true;
        control.cacheList(engine).thenAccept(list -> {
            reading.asking = false;
            LogEvent.of("engine_cache_listed")
                    .with("target", engine.id())
                    .with("parts", list.map(told -> told.parts().size()).orElse(-1))
                    .info(log);
            if (readings.get(engine.id()) == reading) {
                list.ifPresent(told -> takeList(engine.id(), reading, told));
            }
        });
    }

    private void takeList(String engineId, Reading reading, CacheList told) {
        parts.removeEngine(engineId);
        reading.epoch = Optional.of(told.epoch());
        reading.nextNumber = told.nextNumber();
        told.parts().forEach(part -> parts.setCachedTokens(engineId, part.partId(), part.keptTokens()));
        listener.listed(engineId);
    }

    private static final class Reading {
        private final long bornMillis;
        private boolean asking;
        private long nextNumber;
        private long askAtMillis = Long.MIN_VALUE;
        private int failuresInARow;
        private long listAtMillis = Long.MIN_VALUE;
        private Optional<String> epoch = Optional.empty();

        Reading(long bornMillis) {
            this.bornMillis = bornMillis;
        }
    }
}
