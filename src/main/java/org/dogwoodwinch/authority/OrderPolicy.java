package org.dogwoodwinch.authority;

import java.util.Objects;

/**
 * The times and rules of orders and planned changes.
 *
 * @param orderTimeoutMillis how long an engine may take to answer an order; a send needs that much of the lease
 * @param successorWaitMillis how long a new holder waits before an order that differs from its predecessor's, so that
 *     bytes still on their way to an engine that ignores tokens arrive first
 * @param statePollMillis how often the state of an engine is read while an order is confirmed
 * @param reassertMillis how often the state of an engine at rest is read, to put right what a late order undid
 * @param retryMillis the wait before an order or a record is tried again
 * @param giveUpMillis how long an order is tried before it fails
 * @param drainSettleMillis how long after a target was marked it is waited for other instances to hear of it
 * @param drainMostMillis how long work that is not urgent may hold up a planned change; urgent work always may
 * @param tokenRule makes the fencing tokens, not null
 */
public record OrderPolicy(
        long orderTimeoutMillis,
        long successorWaitMillis,
        long statePollMillis,
        long reassertMillis,
        long retryMillis,
        long giveUpMillis,
        long drainSettleMillis,
        long drainMostMillis,
        TokenRule tokenRule) {

    /** What daemons use. */
    public static final OrderPolicy STANDARD =
            new OrderPolicy(2_000, 2_000, 500, 5_000, 1_000, 120_000, 3_000, 60_000, TokenRule.INTENT_OFFSET);

    /** Checks the parts. */
    public OrderPolicy {
        Objects.requireNonNull(tokenRule, "tokenRule");
    }
}
