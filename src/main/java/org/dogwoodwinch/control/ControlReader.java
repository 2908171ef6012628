package org.dogwoodwinch.control;

import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.controllog.FollowerListener;
import org.dogwoodwinch.external.LogRecord;
import org.dogwoodwinch.external.ReadResult;

/**
 * Applies the records that the follower reads to the state machine, and handles starts, expired records and outages.
 * Not thread-safe: its owner calls it under one lock.
 */
final class ControlReader implements FollowerListener {

    private final ControlCodec codec;
    private final CheckpointRule checkpointRule;
    private final AppliedRecordListener listener;
    private ControlStateMachine stateMachine;
    private CheckpointLoader checkpointLoader;
    private boolean caughtUp;
    private boolean logUnavailable;
    private long endOffset = -1;

    /**
     * Creates a reader with the empty state before the first record of the stream.
     *
     * @param codec decodes the records, not null
     * @param checkpointRule decides which checkpoints may be used, not null
     * @param listener receives each record that is applied individually, not null
     */
    ControlReader(ControlCodec codec, CheckpointRule checkpointRule, AppliedRecordListener listener) {
        this.codec = Objects.requireNonNull(codec, "codec");
        this.checkpointRule = Objects.requireNonNull(checkpointRule, "checkpointRule");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.stateMachine = new ControlStateMachine(codec, ControlSnapshot.EMPTY);
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
     * Returns the state machine.
     *
     * @return the state machine; while {@link #isCaughtUp()} is false, its state may be older than the log
     */
    ControlStateMachine stateMachine() {
        return stateMachine;
    }

    /**
     * Tests whether the state has reached the end of the log since the start or since the last expiry of unread
     * records.
     *
     * @return false while starting and while records are missing
     */
    boolean isCaughtUp() {
        return caughtUp;
    }

    /**
     * Tests whether the last read failed.
     *
     * @return true while the log is unavailable
     */
    boolean isLogUnavailable() {
        return logUnavailable;
    }

    /**
     * Tests whether records expired before they were read and no usable checkpoint was read since.
     *
     * @return true until a usable checkpoint is read
     */
    boolean isMissingRecords() {
        return checkpointLoader != null;
    }

    /**
     * Returns the end offset of the log as of its last answer.
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
        Optional<ControlStateMachine> loaded = checkpointLoader.accept(logRecord);
        if (loaded.isPresent()) {
            stateMachine = loaded.get();
            checkpointLoader = null;
        }
    }
}
