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
 * Sees one open order through: sends it, reads the engine's state, writes its end to the log. Not thread-safe.
 *
 * <p>The same driver serves the holder that wrote the intent and a successor that found it open: sending the order again
 * under its id and token can only repeat what the log has decided.
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
     * Creates a driver of an order that is read back and open.
     *
     * @param chart the chart of orders, not null
     * @param policy the times, not null
     * @param ids names the records, not null
     * @param engine the engine, not null
     * @param entry the order, not null
     * @param checksFencing whether the engine checks tokens
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
     * Decides what to do next.
     *
     * @param holder this process, not null
     * @param epoch the epoch of its lease
     * @param leaseRemainingMillis how much of the lease is left
     * @param nowMillis the monotonic time in milliseconds
     * @return the actions
     */
    List<AuthorityAction> decide(String holder, long epoch, long leaseRemainingMillis, long nowMillis) {
        List<AuthorityAction> actions = new ArrayList<>();
        if (nowMillis - startedMillis >= policy.giveUpMillis()) {
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
        if (state == OrderState.CONFIRMING && nowMillis - lastStateReadMillis >= policy.statePollMillis()) {
            lastStateReadMillis = nowMillis;
            actions.add(new AuthorityAction.ReadState(engine));
        }
        if (state == OrderState.SETTLING && nowMillis - lastAppendMillis >= policy.retryMillis()) {
            lastAppendMillis = nowMillis;
            actions.add(new AuthorityAction.Append(new AuthorityRecord.OrderSettled(
                    ids.next(), holder, epoch, engine, entry.intent(), applied, detail)));
        }
        return actions;
    }

    /**
     * Hears what became of a send.
     *
     * @param orderId the order that was sent, not null
     * @param result what the engine said, not null
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
            detail = "the engine holds token " + fenced.highestToken();
            applyEvent(OrderEvent.REFUSED, nowMillis);
        } else if (result instanceof OrderResult.Refused refused) {
            detail = refused.detail();
            applyEvent(OrderEvent.REFUSED, nowMillis);
        } else {
            applyEvent(OrderEvent.LOST, nowMillis);
        }
    }

    /**
     * Hears of the engine's state.
     *
     * @param engineState the state, not null
     * @param nowMillis the monotonic time in milliseconds
     */
    void onState(EngineState engineState, long nowMillis) {
        if (isOrderApplied(entry, engineState, checksFencing, policy.tokenRule())) {
            if (engineState.ready()) {
                applyEvent(OrderEvent.MATCHES, nowMillis);
            }
        } else {
            applyEvent(OrderEvent.DIFFERS, nowMillis);
        }
    }

    /**
     * Says whether an engine's state shows an order.
     *
     * <p>An equal configuration alone is not enough on an engine that checks tokens: it may have run the same before,
     * and without the order's token it would still take an older one.
     *
     * @param entry the order, not null
     * @param engineState the state, not null
     * @param checksFencing whether the engine checks tokens
     * @param tokenRule makes the tokens, not null
     * @return whether the engine runs what was ordered
     */
    static boolean isOrderApplied(
            EngineEntry entry, EngineState engineState, boolean checksFencing, TokenRule tokenRule) {
        boolean hasToken = !checksFencing || engineState.highestFencingToken() >= tokenRule.tokenOf(entry.intent());
        return hasToken && engineState.configuration().equals(entry.configuration());
    }

    /**
     * Returns the intent that is driven.
     *
     * @return its offset
     */
    long intent() {
        return entry.intent();
    }

    /**
     * Says whether the order is out and unanswered, or still to be sent.
     *
     * @return true while a send is under way
     */
    boolean isSending() {
        return state == OrderState.SENDING;
    }

    private EngineOrder newOrder() {
        return new EngineOrder(entry.orderId(), policy.tokenRule().tokenOf(entry.intent()), entry.configuration());
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
            case BACK_OFF -> notBeforeMillis = nowMillis + policy.retryMillis();
            case KEEP_SUCCESS -> {
                applied = true;
                detail = "";
            }
            case KEEP_FAILURE -> detail = detail.isEmpty() ? "the engine did not run it in time" : detail;
        }
    }
}
