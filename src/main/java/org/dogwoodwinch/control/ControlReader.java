package org.dogwoodwinch.control;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.controllog.FollowerListener;
import org.dogwoodwinch.external.LogRecord;
import org.dogwoodwinch.external.ReadResult;

/**
 * Keeps the fold up to date with what the follower reads, through starts, gaps and outages. Not thread-safe: its owner
 * calls it under one lock.
 */
final class ControlReader implements FollowerListener {

    private final ControlCodec codec;
    private final CheckpointRule checkpointRule;
    private final AppliedRecordListener listener;
    private ControlFold stateMachine;
    private CheckpointLoader checkpointLoader;
    private boolean caughtUp;
    private boolean logUnavailable;
    private long endOffset = -1;

    /**
     * Creates a reader at the beginning of the stream.
     *
     * @param codec reads the records, not null
     * @param checkpointRule decides which checkpoints may be used, not null
     * @param listener hears the records that are folded one by one, not null
     */
    ControlReader(ControlCodec codec, CheckpointRule checkpointRule, AppliedRecordListener listener) {
        this.codec = Objects.requireNonNull(codec, "codec");
        this.checkpointRule = Objects.requireNonNull(checkpointRule, "rule");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.stateMachine = new ControlFold(codec, ControlSnapshot.EMPTY);
    }

    @Override
    public void onRecords(ReadResult.Records records) {
        logUnavailable = false;
        endOffset = records.endOffset();
        records.records().forEach(this::applyOrBuffer);
        long nextOffset = records.records().isEmpty()
                ? records.endOffset()
                : records.records().get(records.records().size() - 1).offset() + 1;
        if (checkpointLoader == null && nextOffset >= records.endOffset()) {
            caughtUp = true;
        }
    }

    @Override
    public void onExpired(ReadResult.Expired expired) {
        logUnavailable = false;
        caughtUp = false;
        endOffset = expired.endOffset();
        checkpointLoader = new CheckpointLoader(
                codec, checkpointRule, expired.firstRetainedOffset(), stateMachine.coveredOffset());
    }

    @Override
    public void onUnavailable(String _detail) {
        logUnavailable = true;
    }

    /**
     * Returns the state.
     *
     * @return the fold; only as new as the last usable record while {@link #isCaughtUp()} is false
     */
    ControlFold stateMachine() {
        return stateMachine;
    }

    /**
     * Says whether the state has once been as new as the log since the start or the last gap.
     *
     * @return false during the start and while records are missing
     */
    boolean isCaughtUp() {
        return caughtUp;
    }

    /**
     * Says whether the last read failed.
     *
     * @return true while the log does not answer
     */
    boolean isLogUnavailable() {
        return logUnavailable;
    }

    /**
     * Says whether records have expired that no checkpoint read so far makes up for.
     *
     * @return true until a usable checkpoint comes by
     */
    boolean isMissingRecords() {
        return checkpointLoader != null;
    }

    /**
     * Returns where the log ended at the last answer.
     *
     * @return the offset that the next append would have got; -1 before the first answer
     */
    long endOffset() {
        return endOffset;
    }

    private void applyOrBuffer(LogRecord logRecord) {
        if (checkpointLoader == null) {
            stateMachine.apply(logRecord).ifPresent(listener::onApplied);
            return;
        }
        Optional<ControlFold> loaded = checkpointLoader.accept(logRecord);
        if (loaded.isPresent()) {
            stateMachine = loaded.get();
            checkpointLoader = null;
        }
    }
}
