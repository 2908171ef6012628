package org.dogwoodwinch.request;

import java.util.Objects;

/**
 * A claim that holds its key.
 *
 * @param claimId the claim's id, not null
 * @param pointer the stream of the claimed request, not null
 * @param outcomeOffset the log offset of the record with the request's outcome; -1 if there is none yet
 * @param inProgress whether the instance that made the claim is believed to be processing it, in which case its stream
 *     must not be taken over yet
 */
public record HeldClaim(String claimId, StreamPointer pointer, long outcomeOffset, boolean inProgress) {

    /** The outcome offset of a claim that has no outcome yet. */
    public static final long NO_OUTCOME = -1;

    /** Checks that no component is null. */
    public HeldClaim {
        Objects.requireNonNull(claimId, "claimId");
        Objects.requireNonNull(pointer, "pointer");
    }

    /**
     * Returns whether the request's outcome is on the log.
     *
     * @return true if it is
     */
    public boolean hasOutcome() {
        return outcomeOffset != NO_OUTCOME;
    }

    /**
     * Returns the id of the writer that made the claim.
     *
     * @return an id that identifies one start of one instance
     */
    public String writerId() {
        return claimId.substring(0, Math.max(0, claimId.lastIndexOf('.')));
    }

    /**
     * Returns a copy of this claim with another progress flag.
     *
     * @param newInProgress whether the claim's writer is believed to be processing it
     * @return the copy
     */
    public HeldClaim withInProgress(boolean newInProgress) {
        return new HeldClaim(claimId, pointer, outcomeOffset, newInProgress);
    }
}
