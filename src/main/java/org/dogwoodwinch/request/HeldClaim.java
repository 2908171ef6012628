package org.dogwoodwinch.request;

import java.util.Objects;

/**
 * A claim that holds its key.
 *
 * @param claimId names the claim, not null
 * @param pointer the stream of the request that it stands for, not null
 * @param outcomeOffset the offset of the record with the request's outcome; -1 while there is none
 * @param inProgress whether its claimant is believed to be at work on it, so that its stream is not to be taken over yet
 */
public record HeldClaim(String claimId, StreamPointer pointer, long outcomeOffset, boolean inProgress) {

    /** The offset of an outcome that is not there yet. */
    public static final long NO_OUTCOME = -1;

    /** Checks the parts. */
    public HeldClaim {
        Objects.requireNonNull(claimId, "claimId");
        Objects.requireNonNull(pointer, "pointer");
    }

    /**
     * Says whether the request's outcome is on the log.
     *
     * @return true where it is
     */
    public boolean hasOutcome() {
        return outcomeOffset != NO_OUTCOME;
    }

    /**
     * Returns who made the claim.
     *
     * @return the name of one start of one instance
     */
    public String writerId() {
        return claimId.substring(0, Math.max(0, claimId.lastIndexOf('.')));
    }

    /**
     * Returns this claim with what is believed of its claimant.
     *
     * @param newInProgress whether it is believed to be at work
     * @return the copy
     */
    public HeldClaim withInProgress(boolean newInProgress) {
        return new HeldClaim(claimId, pointer, outcomeOffset, newInProgress);
    }
}
