package org.dogwoodwinch.request;

import java.util.Objects;

/**
 * A claim that holds its key.
 *
 * @param claimId names the claim, not null
 * @param pointer the stream of the request that it stands for, not null
 * @param outcomeOffset the offset of the record with the request's outcome; -1 while there is none
 */
public record HeldClaim(String claimId, StreamPointer pointer, long outcomeOffset) {

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
}
