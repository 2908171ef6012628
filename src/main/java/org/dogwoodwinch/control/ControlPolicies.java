package org.dogwoodwinch.control;

import java.util.Objects;
import org.dogwoodwinch.authority.LeasePolicy;
import org.dogwoodwinch.authority.OrderPolicy;

/**
 * The safety policies of the control stream. Every instance must use the same ones.
 *
 * @param checkpointRule decides from which checkpoints a starting instance may restore its state, not null
 * @param leasePolicy the durations of leases, not null
 * @param orderPolicy the time limits and rules of orders, not null
 */
public record ControlPolicies(CheckpointRule checkpointRule, LeasePolicy leasePolicy, OrderPolicy orderPolicy) {

    /** The policies that daemons use. */
    public static final ControlPolicies STANDARD =
            new ControlPolicies(CheckpointRule.NO_MISSING_RECORDS, LeasePolicy.DEFAULT, OrderPolicy.DEFAULT);

    /** Validates the components. */
    public ControlPolicies {
        Objects.requireNonNull(checkpointRule, "checkpointRule");
        Objects.requireNonNull(leasePolicy, "leasePolicy");
        Objects.requireNonNull(orderPolicy, "orderPolicy");
    }
}
