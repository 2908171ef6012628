package org.dogwoodwinch.authority;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Objects;

/**
 * A planned change and its state.
 *
 * @param id the plan's id, not null
 * @param author the requester, not null
 * @param requestedAtMillis the wall-clock time of the request at the instance that accepted it
 * @param requestedOffset the log offset of the request
 * @param movedOffset the log offset of the last state change
 * @param change the change, not null
 * @param state the state of the change, not null
 * @param detail why the change failed, or who cancelled it; else empty, not null
 */
public record PlanRecord(
        String id,
        String author,
        long requestedAtMillis,
        long requestedOffset,
        long movedOffset,
        PlannedChange change,
        PlanState state,
        String detail) {

    /** Validates the components. */
    public PlanRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(change, "change");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(detail, "detail");
    }

    /**
     * Returns whether the change has not ended yet.
     *
     * @return false if the change is done, failed or cancelled
     */
    @JsonIgnore
    public boolean isActive() {
        return state != PlanState.DONE && state != PlanState.FAILED && state != PlanState.CANCELLED;
    }

    PlanRecord withState(PlanState newState, long offset, String newDetail) {
        return new PlanRecord(id, author, requestedAtMillis, requestedOffset, offset, change, newState, newDetail);
    }
}
