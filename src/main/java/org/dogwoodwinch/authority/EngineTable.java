package org.dogwoodwinch.authority;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The last order of each engine, derived from the log. Not thread-safe.
 *
 * <p>An engine has at most one open order, and each intent names the engine's previous intent. A successor therefore
 * has at most one order per engine to complete, and a duplicate of an old intent is rejected.
 */
public final class EngineTable {

    /** The previous intent of an engine that has had no order. */
    public static final long NO_INTENT = -1;

    private final SortedMap<String, EngineEntry> engines;
    private long loadCount;

    /**
     * Restores the table.
     *
     * @param engines the last order by engine, not null
     * @param loadCount the number of weight loads ordered so far
     */
    public EngineTable(Map<String, EngineEntry> engines, long loadCount) {
        this.engines = new TreeMap<>(engines);
        this.loadCount = loadCount;
    }

    /**
     * Returns why an intent is rejected.
     *
     * @param intent the intent, not null
     * @return the reason, or empty if the intent may be applied
     */
    Optional<String> findRejection(AuthorityRecord.OrderIntent intent) {
        EngineEntry last = engines.get(intent.engine());
        if (last != null && last.state() == EngineEntry.State.OPEN) {
            return Optional.of("another order for the engine is open");
        }
        if (intent.previousIntent() != (last == null ? NO_INTENT : last.intent())) {
            return Optional.of("another order for the engine precedes this one");
        }
        if (intent.loadSequence() >= 0 && intent.loadSequence() != loadCount) {
            return Optional.of("another weight load took this sequence number");
        }
        return Optional.empty();
    }

    /**
     * Applies an intent for which {@link #findRejection} returned no reason.
     *
     * @param offset the intent's offset
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
     * Applies the outcome of an order.
     *
     * @param settled the outcome, not null
     * @return the engine's updated entry, or empty if the record names no open order
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
     * Removes an engine that has left the fleet.
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
     * @return the entry, or empty if the engine has had no order
     */
    public Optional<EngineEntry> engine(String engine) {
        return Optional.ofNullable(engines.get(engine));
    }

    /**
     * Returns the last orders of all engines.
     *
     * @return an unmodifiable view of the entries, by engine
     */
    public SortedMap<String, EngineEntry> engines() {
        return Collections.unmodifiableSortedMap(engines);
    }

    /**
     * Returns the number of weight loads ordered so far.
     *
     * @return the number, which is the sequence number of the next weight load
     */
    public long loadCount() {
        return loadCount;
    }
}
