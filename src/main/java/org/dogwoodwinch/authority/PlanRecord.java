package org.dogwoodwinch.authority;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Objects;

/**
 * A planned change and how far it is.
 *
 * @param id the plan's id, not null
 * @param author who asked for it, not null
 * @param requestedAtMillis when, by the time of day of the instance that took it
 * @param requestedOffset where the request stands on the log
 * @param movedOffset where its last step stands on the log
 * @param change the change, not null
 * @param state how far it is, not null
 * @param detail why it failed, or who cancelled it; else empty, not null
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

    /** Checks the parts. */
    public PlanRecord {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(change, "change");
        Objects.requireNonNull(state, "state");
        Objects.requireNonNull(detail, "detail");
    }

    /**
     * Says whether there is anything left to do.
     *
     * @return false once it is done, failed or cancelled
     */
    @JsonIgnore
    public boolean isActive() {
        return state != PlanState.DONE && state != PlanState.FAILED && state != PlanState.CANCELLED;
    }

    PlanRecord withState(PlanState newState, long offset, String newDetail) {
        return new PlanRecord(id, author, requestedAtMillis, requestedOffset, offset, change, newState, newDetail);
    }
}
