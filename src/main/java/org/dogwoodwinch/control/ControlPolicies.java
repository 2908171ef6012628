package org.dogwoodwinch.control;

import java.util.Objects;
import org.dogwoodwinch.authority.LeasePolicy;
import org.dogwoodwinch.authority.OrderPolicy;

/**
 * The rules that keep the control stream safe; every instance must use the same.
 *
 * @param checkpoints decides which checkpoints a start may build on, not null
 * @param leases the times of leases, not null
 * @param orders the times and rules of orders, not null
 */
public record ControlPolicies(CheckpointRule checkpoints, LeasePolicy leases, OrderPolicy orders) {

    /** What daemons use. */
    public static final ControlPolicies STANDARD =
            new ControlPolicies(CheckpointRule.NO_MISSING_RECORDS, LeasePolicy.STANDARD, OrderPolicy.STANDARD);

    /** Checks the parts. */
    public ControlPolicies {
        Objects.requireNonNull(checkpoints, "checkpoints");
        Objects.requireNonNull(leases, "leases");
        Objects.requireNonNull(orders, "orders");
    }
}
