package org.dogwoodwinch.authority;

import java.util.Collections;
import java.util.List;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import org.dogwoodwinch.controllog.ControlRecord;
import org.dogwoodwinch.target.EngineConfiguration;

/** The records of the control stream that leases, orders and planned changes are made of. */
public sealed interface AuthorityRecord extends ControlRecord {

    /**
     * A holder is alive: renews all groups that it holds at this place in the log.
     *
     * <p>It names no group, so that its size does not grow with the number of groups.
     *
     * @param id the record's id, not null
     * @param holder the holder, not null
     */
    record LeaseRenewal(String id, String holder) implements AuthorityRecord {

        /** Checks the parts. */
        public LeaseRenewal {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(holder, "holder");
        }
    }

    /**
     * Claims groups that nobody holds, or whose holder has not renewed for a whole term.
     *
     * @param id the record's id, not null
     * @param holder who claims, not null
     * @param previousHolder who held the groups as the claimant saw it; empty where nobody did, not null
     * @param previousRenewal the last renewal of that holder that the claimant saw; a later one voids the claim
     * @param groups the groups, not null
     */
    record LeaseClaim(String id, String holder, String previousHolder, long previousRenewal, List<String> groups)
            implements AuthorityRecord {

        /** Checks and copies the parts. */
        public LeaseClaim {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(holder, "holder");
            Objects.requireNonNull(previousHolder, "previousHolder");
            groups = List.copyOf(groups);
        }
    }

    /**
     * A holder gives groups back because it stops; it has used them for the last time before it appends this.
     *
     * @param id the record's id, not null
     * @param holder the holder, not null
     * @param epochs the groups, each with the epoch given back: a copy of this record that comes late must not give back
     *     what its writer has claimed anew, not null
     */
    record LeaseRelease(String id, String holder, SortedMap<String, Long> epochs) implements AuthorityRecord {

        /** Checks and copies the parts. */
        public LeaseRelease {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(holder, "holder");
            epochs = Collections.unmodifiableSortedMap(new TreeMap<>(epochs));
        }
    }

    /**
     * The intent of an order; its offset is the order's fencing token.
     *
     * @param id the record's id and the order's, not null
     * @param holder the holder of the engine's group, not null
     * @param group the engine's group, not null
     * @param epoch the epoch of the holder's lease
     * @param engine the engine, not null
     * @param previousIntent the engine's last intent that the holder saw; -1 where there was none
     * @param loadSequence the number of this load among all weight loads; -1 where no weights are loaded
     * @param planId the planned change that it is part of; empty where it re-asserts an earlier order, not null
     * @param configuration the full configuration wanted, not null
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

        /** Checks the parts. */
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
     * The end of an order.
     *
     * @param id the record's id, not null
     * @param holder the holder of the engine's group, not null
     * @param epoch the epoch of the holder's lease
     * @param engine the engine, not null
     * @param intent the intent that is settled
     * @param applied whether the engine was read to run what was ordered
     * @param detail what went wrong where it does not, not null
     */
    record OrderSettled(
            String id, String holder, long epoch, String engine, long intent, boolean applied, String detail)
            implements AuthorityRecord {

        /** Checks the parts. */
        public OrderSettled {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(holder, "holder");
            Objects.requireNonNull(engine, "engine");
            Objects.requireNonNull(detail, "detail");
        }
    }

    /**
     * An operator or the role planner asks for a change.
     *
     * @param id the record's id and the plan's, not null
     * @param author who asks, not null
     * @param requestedAtMillis when, by the time of day of the instance that took it; for people only
     * @param readUpTo how far the instance had read the log: a copy that comes when the plan is long forgotten is told by
     *     it
     * @param change the change, not null
     */
    record PlanRequested(String id, String author, long requestedAtMillis, long readUpTo, PlannedChange change)
            implements AuthorityRecord {

        /** Checks the parts. */
        public PlanRequested {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(author, "author");
            Objects.requireNonNull(change, "change");
        }
    }

    /**
     * The holder of the group moves a plan on.
     *
     * @param id the record's id, not null
     * @param holder the holder of the group, not null
     * @param epoch the epoch of the holder's lease
     * @param planId the plan, not null
     * @param event what happens to it: start, finish or fail, not null
     * @param detail why, where it fails, not null
     */
    record PlanMoved(String id, String holder, long epoch, String planId, PlanEvent event, String detail)
            implements AuthorityRecord {

        /** Checks the parts. */
        public PlanMoved {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(holder, "holder");
            Objects.requireNonNull(planId, "planId");
            Objects.requireNonNull(event, "event");
            Objects.requireNonNull(detail, "detail");
        }
    }

    /**
     * An operator cancels a plan; void once its order is on the log.
     *
     * @param id the record's id, not null
     * @param author who cancels, not null
     * @param planId the plan, not null
     */
    record PlanCancelled(String id, String author, String planId) implements AuthorityRecord {

        /** Checks the parts. */
        public PlanCancelled {
            Objects.requireNonNull(id, "id");
            Objects.requireNonNull(author, "author");
            Objects.requireNonNull(planId, "planId");
        }
    }
}
