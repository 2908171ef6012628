package org.dogwoodwinch.authority;

import java.util.Objects;

/**
 * The timings and rules of orders and planned changes.
 *
 * @param orderTimeoutMillis the timeout of an engine's answer to an order; an order is sent only if the lease lasts at
 *     least as long, in milliseconds
 * @param newHolderWaitMillis how long a new holder waits before it sends an order that differs from its predecessor's,
 *     so that orders still in transit to an engine that does not check fencing tokens arrive first, in milliseconds
 * @param statePollIntervalMillis the interval at which an engine's state is read while an order is confirmed, in milliseconds
 * @param reassertIntervalMillis the interval at which the state of an engine without an open order is read, to detect that a
 *     delayed order has overwritten the last one, in milliseconds
 * @param retryDelayMillis the delay before an order or a record is sent again, in milliseconds
 * @param expiryMillis the time after which an incomplete order fails, in milliseconds
 * @param minDrainMillis the least duration of a drain, which lets all other instances read that the target is
 *     drained, in milliseconds
 * @param maxNonUrgentDrainMillis how long requests that are not urgent may delay a planned change, in milliseconds; urgent
 *     requests delay it without limit
 * @param fencingTokenRule computes the fencing tokens, not null
 */
public record OrderPolicy(
        long orderTimeoutMillis,
        long newHolderWaitMillis,
        long statePollIntervalMillis,
        long reassertIntervalMillis,
        long retryDelayMillis,
        long expiryMillis,
        long minDrainMillis,
        long maxNonUrgentDrainMillis,
        FencingTokenRule fencingTokenRule) {

    /** The default timings and rules. */
    public static final OrderPolicy DEFAULT =
            new OrderPolicy(2_000, 2_000, 500, 5_000, 1_000, 120_000, 3_000, 60_000, FencingTokenRule.INTENT_OFFSET);

    /** Validates the components. */
    public OrderPolicy {
        Objects.requireNonNull(fencingTokenRule, "fencingTokenRule");
    }
}
