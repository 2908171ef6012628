package org.dogwoodwinch.platform;

import java.util.LinkedHashMap;
import java.util.Map;
import org.dogwoodwinch.forwarding.Incarnation;

/**
 * The numbers of orders that engines are known to have accepted since their starts. Confined to one event loop.
 *
 * <p>Failure: a report from before an order is taken for one from after it. An engine that carries the order out is not
 * busy in it and counts as available, so it gets calls and rejects them all.
 */
final class KnownOrderCounts {

    /** More than there are engines; those whose counts were used least recently are forgotten. */
    private static final int MAX_ENGINES = 8_192;

    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<Start, Long> counts = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Start, Long> _eldest) {
            return size() > MAX_ENGINES;
        }
    };

    /**
     * Returns the number of orders that an engine is known to have accepted.
     *
     * @param engine the engine, not null
     * @return the number; zero if nothing is known of this start
     */
    long known(Incarnation engine) {
        return counts.getOrDefault(Start.of(engine), 0L);
    }

    /** Records what a report states, also a lower number: the count of a start that is not stated may begin again. */
    void recordReported(Incarnation engine, long ordersCount) {
        counts.put(Start.of(engine), ordersCount);
    }

    /** Records that an order was accepted by an engine that had accepted a number of others before. */
    void recordAccepted(Incarnation engine, long ordersCountBefore) {
        counts.merge(Start.of(engine), ordersCountBefore + 1, Math::max);
    }

    private record Start(String engineId, long startedMillis) {

        static Start of(Incarnation engine) {
            return new Start(engine.id(), engine.startedMillis());
        }
    }
}
