package org.dogwoodwinch.authority;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The last order of each engine as the log makes it. Not thread-safe.
 *
 * <p>One order is open for an engine at a time, and each intent names the one before it. A successor therefore has one
 * thing to settle, and a copy of an old intent is void.
 */
public final class EngineTable {

    /** The intent of an engine that has none. */
    public static final long NO_INTENT = -1;

    private final SortedMap<String, EngineEntry> engines;
    private long loadCount;

    /**
     * Creates the table as it was left.
     *
     * @param engines the last order by engine, not null
     * @param loadCount how many weight loads were ordered so far
     */
    public EngineTable(Map<String, EngineEntry> engines, long loadCount) {
        this.engines = new TreeMap<>(engines);
        this.loadCount = loadCount;
    }

    /**
     * Says why an intent is void.
     *
     * @param intent the intent, not null
     * @return the reason, or empty where it may be applied
     */
    Optional<String> findRejection(AuthorityRecord.OrderIntent intent) {
        EngineEntry last = engines.get(intent.engine());
        if (last != null && last.state() == EngineEntry.State.OPEN) {
            return Optional.of("another order is open");
        }
        if (intent.previousIntent() != (last == null ? NO_INTENT : last.intent())) {
            return Optional.of("another order came before");
        }
        if (intent.loadSequence() >= 0 && intent.loadSequence() != loadCount) {
            return Optional.of("another weight load came before");
        }
        return Optional.empty();
    }

    /**
     * Reads an intent that {@link #findRejection} found sound.
     *
     * @param offset its offset
     * @param intent the intent, not null
     */
    void apply(long offset, AuthorityRecord.OrderIntent intent) {
        if (intent.loadSequence() >= 0) {
            loadCount++;
        }
        engines.put(
                intent.engine(),
                new EngineEntry(
                        intent.group(),
                        offset,
                        intent.id(),
                        intent.planId(),
                        intent.loadSequence(),
                        intent.configuration(),
                        EngineEntry.State.OPEN,
                        ""));
    }

    /**
     * Reads the end of an order.
     *
     * @param settled the end, not null
     * @return the engine's entry, or empty where the record is void
     */
    Optional<EngineEntry> apply(AuthorityRecord.OrderSettled settled) {
        EngineEntry last = engines.get(settled.engine());
        if (last == null || last.intent() != settled.intent() || last.state() != EngineEntry.State.OPEN) {
            return Optional.empty();
        }
        EngineEntry updated = last.withOutcome(settled.applied(), settled.detail());
        engines.put(settled.engine(), updated);
        return Optional.of(updated);
    }

    /**
     * Forgets an engine that is gone for good.
     *
     * @param engine the engine, not null
     */
    void remove(String engine) {
        engines.remove(engine);
    }

    /**
     * Returns the last order of an engine.
     *
     * @param engine the engine, not null
     * @return its entry, or empty where it had none
     */
    public Optional<EngineEntry> engine(String engine) {
        return Optional.ofNullable(engines.get(engine));
    }

    /**
     * Returns the last orders of all engines.
     *
     * @return the entries by engine; a view
     */
    public SortedMap<String, EngineEntry> engines() {
        return Collections.unmodifiableSortedMap(engines);
    }

    /**
     * Returns how many weight loads were ordered so far.
     *
     * @return the number that the next load has
     */
    public long loadCount() {
        return loadCount;
    }
}
