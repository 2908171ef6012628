package org.dogwoodwinch.control;

/** Decides whether a starter may build on a checkpoint that it read. */
@FunctionalInterface
public interface CheckpointRule {

    /**
     * The rule that daemons use: every record after the covered offset must be at hand.
     *
     * <p>A writer that is paused between copying its state and appending it publishes an old checkpoint late. Between
     * the covered offset and the checkpoint's own place there are then records that it lacks; where some of them have
     * expired, building on it would lose accepted edits for good. Reading began at {@code firstRead}, so nothing is
     * missing exactly when the covered offset is at most one before that.
     */
    CheckpointRule NO_MISSING_RECORDS = (coveredOffset, firstReadOffset) -> coveredOffset + 1 >= firstReadOffset;

    /**
     * Decides.
     *
     * @param coveredOffset the last offset that the checkpoint has folded in
     * @param firstReadOffset the offset from which on every record was read
     * @return whether the checkpoint may be used
     */
    boolean isUsable(long coveredOffset, long firstReadOffset);
}
