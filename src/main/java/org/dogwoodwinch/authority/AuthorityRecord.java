package org.dogwoodwinch.authority;

import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import org.dogwoodwinch.controllog.ControlRecord;
import org.dogwoodwinch.target.EngineConfiguration;

/** A record of the control stream that changes leases, orders or planned changes. */
public sealed interface AuthorityRecord extends ControlRecord {

    /**
     * Renews the leases of all groups that the holder has at this offset of the log.
     *
     * <p>The record names no group, so that its size does not grow with the number of groups.
     *
     * @param id the record's id, not null
     * @param holder the holder, not null
     */
    record LeaseRenewal(String id, String holder) implements AuthorityRecord {

        /** Validates the components. */
        public LeaseRenewal {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(holder, "holder");
        }
    }

    /**
     * Claims groups that have no holder, or whose holder has not renewed for a whole lease term.
     *
     * @param id the record's id, not null
     * @param holder the claimant, not null
     * @param previousHolder the holder of the groups as read by the claimant; empty if there was none, not null
     * @param previousRenewal the offset of that holder's last renewal as read by the claimant; a later renewal makes
     *     the claim ineffective
     * @param groups the claimed groups, not null
     */
    record LeaseClaim(String id, String holder, String previousHolder, long previousRenewal, List<String> groups)
            implements AuthorityRecord {

        /** Validates and copies the components. */
        public LeaseClaim {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(holder, "holder");
            Objects.requireNonNull(previousHolder, "previousHolder");
            groups = List.copyOf(groups);
        }
    }

    /**
     * Releases groups because their holder stops. The holder must not act for the groups after it has appended this
     * record.
     *
     * @param id the record's id, not null
     * @param holder the holder, not null
     * @param epochs the released groups, each with its epoch; the epoch keeps a delayed duplicate of this record from
     *     releasing a group that the holder has claimed again, not null
     */
    record LeaseRelease(String id, String holder, SortedMap<String, Long> epochs) implements AuthorityRecord {

        /** Validates and copies the components. */
        public LeaseRelease {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(holder, "holder");
            epochs = Collections.unmodifiableSortedMap(new TreeMap<>(epochs));
        }
    }

    /**
     * The intent to send an order; its offset is the order's fencing token.
     *
     * @param id the id of both the record and the order, not null
     * @param holder the holder of the engine's group, not null
     * @param group the engine's group, not null
     * @param epoch the epoch of the holder's lease
     * @param engine the engine, not null
     * @param previousIntent the offset of the engine's last intent as read by the holder; -1 if there was none
     * @param loadSequence the sequence number of this weight load among all weight loads; -1 if no weights are loaded
     * @param planId the plan that the order belongs to; empty if the order reasserts an earlier one, not null
     * @param configuration the full desired configuration, not null
     */
    record OrderIntent(
            String id,
            String holder,
            String group,
            long epoch,
            String engine,
            long previousIntent,
            long loadSequence,
            String planId,
            EngineConfiguration configuration)
            implements AuthorityRecord {

        /** Validates the components. */
        public OrderIntent {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(holder, "holder");
            Objects.requireNonNull(group, "group");
            Objects.requireNonNull(engine, "engine");
            Objects.requireNonNull(planId, "planId");
            Objects.requireNonNull(configuration, "configuration");
        }
    }

    /**
     * The outcome of an order.
     *
     * @param id the record's id, not null
     * @param holder the holder of the engine's group, not null
     * @param epoch the epoch of the holder's lease
     * @param engine the engine, not null
     * @param intent the offset of the order's intent
     * @param applied whether the state read from the engine showed the ordered configuration
     * @param detail why the order failed; empty if it was applied, not null
     */
    record OrderSettled(
            String id, String holder, long epoch, String engine, long intent, boolean applied, String detail)
            implements AuthorityRecord {

        /** Validates the components. */
        public OrderSettled {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(holder, "holder");
            Objects.requireNonNull(engine, "engine");
            Objects.requireNonNull(detail, "detail");
        }
    }

    /**
     * A change requested by an operator or by the role planner.
     *
     * @param id the id of both the record and the plan, not null
     * @param author the requester, not null
     * @param requestedAtMillis the wall-clock time of the request at the instance that accepted it; informational only
     * @param readUpTo the offset up to which the instance had read the log; identifies a duplicate that arrives after
     *     the plan was removed from the table
     * @param change the requested change, not null
     */
    record PlanRequested(String id, String author, long requestedAtMillis, long readUpTo, PlannedChange change)
            implements AuthorityRecord {

        /** Validates the components. */
        public PlanRequested {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(author, "author");
            Objects.requireNonNull(change, "change");
        }
    }

    /**
     * A state change of a plan, appended by the holder of its group.
     *
     * @param id the record's id, not null
     * @param holder the holder of the group, not null
     * @param epoch the epoch of the holder's lease
     * @param planId the plan, not null
     * @param event the event: start, finish or fail, not null
     * @param detail why the plan failed; else empty, not null
     */
    record PlanMoved(String id, String holder, long epoch, String planId, PlanEvent event, String detail)
            implements AuthorityRecord {

        /** Validates the components. */
        public PlanMoved {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(holder, "holder");
            Objects.requireNonNull(planId, "planId");
            Objects.requireNonNull(event, "event");
            Objects.requireNonNull(detail, "detail");
        }
    }

    /**
     * An operator's cancellation of a plan; has no effect once the intent of the plan's order is on the log.
     *
     * @param id the record's id, not null
     * @param author the operator, not null
     * @param planId the plan, not null
     */
    record PlanCancelled(String id, String author, String planId) implements AuthorityRecord {

        /** Validates the components. */
        public PlanCancelled {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(author, "author");
            Objects.requireNonNull(planId, "planId");
        }
    }
}
