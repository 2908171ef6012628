package org.dogwoodwinch.authority;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.dogwoodwinch.chart.ChartStep;
import org.dogwoodwinch.chart.StateChart;
import org.dogwoodwinch.target.EngineOrder;
import org.dogwoodwinch.target.EngineState;
import org.dogwoodwinch.target.OrderResult;

/**
 * Drives one open order to its outcome: sends it, reads the engine's state and appends the outcome to the log. Not
 * thread-safe.
 *
 * <p>Both the holder that appended the intent and a successor that finds the order open use this class. Sending the
 * order again is idempotent, because it keeps its id and fencing token.
 */
final class OrderDriver {

    private final StateChart<OrderState, OrderEvent, OrderAction> chart;
    private final OrderPolicy policy;
    private final RecordIdGenerator ids;
    private final String engine;
    private final EngineEntry entry;
    private final boolean checksFencing;
    private final long startedMillis;
    private OrderState state;
    private long notBeforeMillis;
    private long lastSendMillis;
    private long lastStateReadMillis = Long.MIN_VALUE / 2;
    private long lastAppendMillis = Long.MIN_VALUE / 2;
    private boolean applied;
    private String detail = "";

    /**
     * Creates a driver of an open order whose intent was read back from the log.
     *
     * @param chart the state chart of orders, not null
     * @param policy the timings and rules of orders, not null
     * @param ids creates the ids of new records, not null
     * @param engine the engine, not null
     * @param entry the order, not null
     * @param checksFencing whether the engine checks fencing tokens
     * @param nowMillis the monotonic time in milliseconds
     */
    OrderDriver(
            StateChart<OrderState, OrderEvent, OrderAction> chart,
            OrderPolicy policy,
            RecordIdGenerator ids,
            String engine,
            EngineEntry entry,
            boolean checksFencing,
            long nowMillis) {
        this.chart = chart;
        this.policy = policy;
        this.ids = ids;
        this.engine = engine;
        this.entry = entry;
        this.checksFencing = checksFencing;
        this.startedMillis = nowMillis;
        this.state = chart.initial();
    }

    /**
     * Decides which actions are due.
     *
     * @param holder the name of this process, not null
     * @param epoch the epoch of the group's lease
     * @param leaseRemainingMillis the remaining time of the lease, in milliseconds
     * @param nowMillis the monotonic time in milliseconds
     * @return the actions
     */
    List<AuthorityAction> decide(String holder, long epoch, long leaseRemainingMillis, long nowMillis) {
        List<AuthorityAction> actions = new ArrayList<>();
        if (nowMillis - startedMillis >= policy.expiryMillis()) {
            applyEvent(OrderEvent.GIVE_UP, nowMillis);
        }
        if (state == OrderState.SENDING && nowMillis - lastSendMillis >= policy.orderTimeoutMillis()) {
            applyEvent(OrderEvent.LOST, nowMillis);
        }
        if (nowMillis >= notBeforeMillis
                && leaseRemainingMillis >= policy.orderTimeoutMillis()
                && applyEvent(OrderEvent.DUE, nowMillis)
                        .filter(OrderAction.SEND_ORDER::equals)
                        .isPresent()) {
            actions.add(new AuthorityAction.SendOrder(engine, entry.group(), newOrder()));
        }
        if (state == OrderState.CONFIRMING && nowMillis - lastStateReadMillis >= policy.statePollIntervalMillis()) {
            lastStateReadMillis = nowMillis;
            actions.add(new AuthorityAction.ReadEngineState(engine));
        }
        if (state == OrderState.SETTLING && nowMillis - lastAppendMillis >= policy.retryDelayMillis()) {
            lastAppendMillis = nowMillis;
            actions.add(new AuthorityAction.AppendRecord(new AuthorityRecord.OrderSettled(
                    ids.next(), holder, epoch, engine, entry.intent(), applied, detail)));
        }
        return actions;
    }

    /**
     * Handles the result of sending an order; the result of another order is ignored.
     *
     * @param orderId the id of the order that was sent, not null
     * @param result the engine's answer, or the reason why there is none, not null
     * @param nowMillis the monotonic time in milliseconds
     */
    void onResult(String orderId, OrderResult result, long nowMillis) {
        if (!orderId.equals(entry.orderId())) {
            return;
        }
        if (result instanceof OrderResult.Accepted accepted) {
            applyEvent(OrderEvent.ACCEPTED, nowMillis);
            onState(accepted.state(), nowMillis);
        } else if (result instanceof OrderResult.Fenced fenced) {
            detail = "the engine has already accepted fencing token " + fenced.highestToken();
            applyEvent(OrderEvent.REFUSED, nowMillis);
        } else if (result instanceof OrderResult.Refused refused) {
            detail = refused.detail();
            applyEvent(OrderEvent.REFUSED, nowMillis);
        } else {
            applyEvent(OrderEvent.LOST, nowMillis);
        }
    }

    /**
     * Handles a state read from the engine.
     *
     * @param engineState the state, not null
     * @param nowMillis the monotonic time in milliseconds
     */
    void onState(EngineState engineState, long nowMillis) {
        if (isOrderApplied(entry, engineState, checksFencing, policy.fencingTokenRule())) {
            if (engineState.ready()) {
                applyEvent(OrderEvent.MATCHES, nowMillis);
            }
        } else {
            applyEvent(OrderEvent.DIFFERS, nowMillis);
        }
    }

    /**
     * Returns whether an engine's state shows that an order was applied.
     *
     * <p>On an engine that checks fencing tokens, an equal configuration is not sufficient: the engine may have had the
     * same configuration before the order, and until it has the order's token it accepts orders with older tokens.
     *
     * @param entry the order, not null
     * @param engineState the state, not null
     * @param checksFencing whether the engine checks fencing tokens
     * @param tokenRule computes the fencing tokens, not null
     * @return whether the engine runs the ordered configuration
     */
    static boolean isOrderApplied(
            EngineEntry entry, EngineState engineState, boolean checksFencing, FencingTokenRule tokenRule) {
        boolean hasToken =
                !checksFencing || engineState.highestFencingToken() >= tokenRule.fencingToken(entry.intent());
        return hasToken && engineState.configuration().equals(entry.configuration());
    }

    /**
     * Returns the offset of the order's intent.
     *
     * @return the offset
     */
    long intent() {
        return entry.intent();
    }

    /**
     * Returns whether the order was sent, or is about to be sent, and has not been answered.
     *
     * @return true while an answer is pending
     */
    boolean isSending() {
        return state == OrderState.SENDING;
    }

    private EngineOrder newOrder() {
        return new EngineOrder(
                entry.orderId(), policy.fencingTokenRule().fencingToken(entry.intent()), entry.configuration());
    }

    private Optional<OrderAction> applyEvent(OrderEvent event, long nowMillis) {
        Optional<ChartStep<OrderState, OrderAction>> step = chart.next(state, event);
        if (step.isEmpty()) {
            return Optional.empty();
        }
        state = step.get().to();
        Optional<OrderAction> action = step.get().action();
        action.ifPresent(orderAction -> perform(orderAction, nowMillis));
        return action;
    }

    private void perform(OrderAction action, long nowMillis) {
        switch (action) {
            case SEND_ORDER -> lastSendMillis = nowMillis;
            case BACK_OFF -> notBeforeMillis = nowMillis + policy.retryDelayMillis();
            case KEEP_SUCCESS -> {
                applied = true;
                detail = "";
            }
            case KEEP_FAILURE -> detail = detail.isEmpty() ? "the engine did not confirm the order in time" : detail;
        }
    }
}
