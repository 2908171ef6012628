package org.dogwoodwinch.control;

/** Decides whether a starting instance may restore its state from a checkpoint. */
@FunctionalInterface
public interface CheckpointRule {

    /**
     * The rule that daemons use: every record after the covered offset must have been read.
     *
     * <p>A writer that is paused between copying its state and appending the checkpoint publishes an old checkpoint
     * late. The checkpoint then lacks the records between its covered offset and its own offset. If some of them have
     * expired, restoring from it would lose accepted edits permanently. Reading began at {@code firstReadOffset}, so no
     * record is missing if and only if the covered offset is at least {@code firstReadOffset - 1}.
     */
    CheckpointRule NO_MISSING_RECORDS = (coveredOffset, firstReadOffset) -> coveredOffset + 1 >= firstReadOffset;

    /**
     * Tests whether a checkpoint may be used.
     *
     * @param coveredOffset the last offset that the checkpoint covers
     * @param firstReadOffset the offset from which every record was read
     * @return true if the checkpoint may be used
     */
    boolean isUsable(long coveredOffset, long firstReadOffset);
}
