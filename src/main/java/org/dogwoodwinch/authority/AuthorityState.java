package org.dogwoodwinch.authority;

import java.util.List;
import java.util.Optional;

/**
 * The state of leases, orders and planned changes, derived by applying the log records in offset order. Not
 * thread-safe.
 *
 * <p>A holder's record takes effect only if, at its offset, the holder has the group's lease in the epoch that the
 * record names. All records that a paused holder appends after a successor's claim are therefore rejected.
 */
public final class AuthorityState {

    private static final Optional<String> NOT_HELD = Optional.of("the group's lease is not held in the record's epoch");

    private final LeaseTable leases;
    private final EngineTable engines;
    private final PlanTable plans;

    /**
     * Restores the state from a snapshot.
     *
     * @param snapshot the snapshot, not null
     */
    public AuthorityState(AuthoritySnapshot snapshot) {
        this.leases = new LeaseTable(snapshot.leases(), snapshot.renewals());
        this.engines = new EngineTable(snapshot.engines(), snapshot.loadCount());
        this.plans = new PlanTable(snapshot.plans(), snapshot.standing(), snapshot.forgottenThrough());
    }

    /**
     * Applies one record.
     *
     * @param offset the record's offset
     * @param record the record, not null
     * @return the reason for a rejection, or empty if the record took effect
     */
    public Optional<String> apply(long offset, AuthorityRecord record) {
        if (record instanceof AuthorityRecord.LeaseRenewal renewal) {
            return leases.apply(offset, renewal);
        }
        if (record instanceof AuthorityRecord.LeaseClaim claim) {
            return leases.apply(offset, claim);
        }
        if (record instanceof AuthorityRecord.LeaseRelease release) {
            return leases.apply(release);
        }
        if (record instanceof AuthorityRecord.OrderIntent intent) {
            return applyOrderIntent(offset, intent);
        }
        if (record instanceof AuthorityRecord.OrderSettled settled) {
            return applyOrderSettled(offset, settled);
        }
        if (record instanceof AuthorityRecord.PlanRequested request) {
            return plans.apply(offset, request);
        }
        if (record instanceof AuthorityRecord.PlanMoved moved) {
            return applyPlanMoved(offset, moved);
        }
        AuthorityRecord.PlanCancelled cancelled = (AuthorityRecord.PlanCancelled) record;
        return plans.applyEvent(offset, cancelled.planId(), PlanEvent.CANCEL, "cancelled by " + cancelled.author());
    }

    /**
     * Returns the leases.
     *
     * @return the table, to be read only
     */
    public LeaseTable leases() {
        return leases;
    }

    /**
     * Returns the last order of each engine.
     *
     * @return the table, to be read only
     */
    public EngineTable engines() {
        return engines;
    }

    /**
     * Returns the planned changes.
     *
     * @return the table, to be read only
     */
    public PlanTable plans() {
        return plans;
    }

    /**
     * Returns a copy of the state.
     *
     * @return the snapshot
     */
    public AuthoritySnapshot snapshot() {
        return new AuthoritySnapshot(
                leases.leases(),
                leases.lastRenewals(),
                engines.engines(),
                engines.loadCount(),
                List.copyOf(plans.plans()),
                plans.outOfServiceReasons(),
                plans.forgottenThrough());
    }

    private Optional<String> applyOrderIntent(long offset, AuthorityRecord.OrderIntent intent) {
        if (!leases.isHeld(intent.group(), intent.holder(), intent.epoch())) {
            return NOT_HELD;
        }
        Optional<String> rejection = engines.findRejection(intent);
        if (rejection.isPresent()) {
            return rejection;
        }
        if (!intent.planId().isEmpty()) {
            Optional<String> planRejection = plans.applyEvent(offset, intent.planId(), PlanEvent.ORDER, "");
            if (planRejection.isPresent()) {
                return planRejection;
            }
        }
        engines.apply(offset, intent);
        return Optional.empty();
    }

    private Optional<String> applyOrderSettled(long offset, AuthorityRecord.OrderSettled settled) {
        Optional<EngineEntry> open = engines.engine(settled.engine());
        if (open.isEmpty() || !leases.isHeld(open.get().group(), settled.holder(), settled.epoch())) {
            return NOT_HELD;
        }
        Optional<EngineEntry> entry = engines.apply(settled);
        if (entry.isEmpty()) {
            return Optional.of("the order is not open");
        }
        String planId = entry.get().planId();
        plans.plan(planId)
                .ifPresent(plan -> plans.applyEvent(offset, planId, settledEvent(plan, settled), settled.detail()));
        return Optional.empty();
    }

    private Optional<String> applyPlanMoved(long offset, AuthorityRecord.PlanMoved moved) {
        Optional<PlanRecord> plan = plans.plan(moved.planId());
        if (plan.isEmpty() || !leases.isHeld(plan.get().change().group(), moved.holder(), moved.epoch())) {
            return NOT_HELD;
        }
        Optional<String> rejection = plans.applyEvent(offset, moved.planId(), moved.event(), moved.detail());
        PlannedChange change = plan.get().change();
        if (rejection.isEmpty() && moved.event() == PlanEvent.FINISH && change.kind() != PlannedChange.Kind.DRAIN) {
            engines.remove(change.engine());
        }
        return rejection;
    }

    private static PlanEvent settledEvent(PlanRecord plan, AuthorityRecord.OrderSettled settled) {
        if (!settled.applied()) {
            return PlanEvent.REFUSED;
        }
        return plan.change().kind() == PlannedChange.Kind.REPLACE ? PlanEvent.APPLIED_THEN_RETIRE : PlanEvent.APPLIED;
    }
}
