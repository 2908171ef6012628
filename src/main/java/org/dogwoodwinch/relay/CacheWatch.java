package org.dogwoodwinch.relay;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.dogwoodwinch.forwarding.Incarnation;
import org.dogwoodwinch.forwarding.PartIndex;
import org.dogwoodwinch.time.TimeSource;

/**
 * Keeps the index of parts by what engines tell of their memory. A question that got no answer is asked again a round
 * later; what is believed meanwhile costs reading time at worst.
 */
public final class CacheWatch {

    private final EngineControl control;
    private final PartIndex parts;
    private final Supplier<List<Incarnation>> engines;
    private final TimeSource time;
    private final long roundMillis;
    private final Map<String, Reading> readings = new HashMap<>();

    /**
     * Creates a watch that does not ask yet.
     *
     * @param control asks engines, not null
     * @param parts what it keeps, not null
     * @param engines the engines to ask, looked up each round, not null
     * @param time schedules the rounds, not null
     * @param roundMillis the time between two questions to one engine
     */
    public CacheWatch(
            EngineControl control,
            PartIndex parts,
            Supplier<List<Incarnation>> engines,
            TimeSource time,
            long roundMillis) {
        this.control = Objects.requireNonNull(control, "control");
        this.parts = Objects.requireNonNull(parts, "parts");
        this.engines = Objects.requireNonNull(engines, "engines");
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
            ask(engine);
        }
        readings.keySet().removeIf(id -> {
            boolean gone = !ids.contains(id);
            if (gone) {
                parts.forget(id);
            }
            return gone;
        });
        time.schedule(roundMillis, this::round);
    }

    private void ask(Incarnation engine) {
        Reading reading = readings.computeIfAbsent(engine.id(), _id -> new Reading());
        if (reading.asking) {
            return;
        }
        reading.asking = true;
        control.cacheChanges(engine, reading.nextNumber).thenAccept(changes -> {
            reading.asking = false;
            changes.ifPresent(told -> take(engine.id(), reading, told));
        });
    }

    private void take(String engineId, Reading reading, CacheChanges told) {
        if (reading.epoch.isPresent() && !reading.epoch.get().equals(told.epoch())) {
            parts.forget(engineId);
        }
        reading.epoch = Optional.of(told.epoch());
        reading.nextNumber = told.nextNumber();
        told.changes().forEach(change -> parts.kept(engineId, change.partId(), change.keptTokens()));
    }

    private static final class Reading {
        private boolean asking;
        private long nextNumber;
        private Optional<String> epoch = Optional.empty();
    }
}
