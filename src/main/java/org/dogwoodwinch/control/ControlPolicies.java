package org.dogwoodwinch.control;

import java.util.Objects;
import org.dogwoodwinch.authority.LeasePolicy;
import org.dogwoodwinch.authority.OrderPolicy;

/**
 * The safety policies of the control stream. Every instance must use the same ones.
 *
 * @param checkpoints decides from which checkpoints a starting instance may restore its state, not null
 * @param leases the durations of leases, not null
 * @param orders the time limits and rules of orders, not null
 */
public record ControlPolicies(CheckpointRule checkpoints, LeasePolicy leases, OrderPolicy orders) {

    /** The policies that daemons use. */
    public static final ControlPolicies STANDARD =
            new ControlPolicies(CheckpointRule.NO_MISSING_RECORDS, LeasePolicy.DEFAULT, OrderPolicy.DEFAULT);

    /** Validates the components. */
    public ControlPolicies {
        Objects.requireNonNull(checkpoints, "checkpoints");
        Objects.requireNonNull(leases, "leases");
        Objects.requireNonNull(orders, "orders");
    }
}
