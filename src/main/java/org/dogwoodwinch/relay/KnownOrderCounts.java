package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwinch.forwarding.Incarnation;

/**
 * The numbers of orders that engines are known to have accepted since their starts. Confined to one event loop.
 *
 * <p>Failure: a report from before an order is taken for one from after it. An engine that carries the order out is not
 * busy in it and counts as available, so it gets calls and rejects them all.
 */
public final class KnownOrderCounts {

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
     * Returns whether a report may be from after all that is known of its engine.
     *
     * @param engine the engine, not null
     * @param report what the report states, not null
     * @return whether it counts at least the orders that the engine is known to have accepted since its start
     */
    public boolean mayFollow(Incarnation engine, OrderState report) {
        return report.ordersCount() >= counts.getOrDefault(Start.of(engine), 0L);
    }

    /**
     * Records a report, also one with fewer orders: the count of a start that is not stated may begin again.
     *
     * @param engine the engine, not null
     * @param report what the report states; empty if there is none, not null
     * @return the report
     */
    public Optional<OrderState> recordReported(Incarnation engine, Optional<OrderState> report) {
        report.ifPresent(state -> counts.put(Start.of(engine), state.ordersCount()));
        return report;
    }

    /**
     * Records the answer to an order. An engine counts an order that it begins to carry out, and none that it holds
     * already.
     *
     * @param engine the engine, not null
     * @param order the order, not null
     * @param reply the answer, not null
     * @return the answer
     */
    public ControlReply recordAnswer(Incarnation engine, StageOrder order, ControlReply reply) {
        if (reply instanceof ControlReply.Answered answered
                && answered.status() == HttpResponseStatus.ACCEPTED.code()) {
            counts.merge(Start.of(engine), order.expectedOrdersCount() + 1, Math::max);
        }
        return reply;
    }

    private record Start(String engineId, long startedMillis) {

        static Start of(Incarnation engine) {
            return new Start(engine.id(), engine.startedMillis());
        }
    }
}
