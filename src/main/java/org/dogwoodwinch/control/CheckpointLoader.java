package org.dogwoodwinch.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.controllog.ControlRecord;
import org.dogwoodwinch.external.LogRecord;

/**
 * Restores the state from a checkpoint if the first records of the stream have expired. Not thread-safe.
 *
 * <p>It buffers the records that it receives until one of them is a usable checkpoint, and then applies the buffered
 * records to that checkpoint.
 */
final class CheckpointLoader {

    private final ControlCodec codec;
    private final CheckpointRule checkpointRule;
    private final long firstReadOffset;
    private final long previousCoveredOffset;
    private final List<LogRecord> bufferedRecords = new ArrayList<>();

    /**
     * Creates a loader.
     *
     * @param codec decodes the records, not null
     * @param checkpointRule decides which checkpoints may be used, not null
     * @param firstReadOffset the offset from which every record is passed to {@link #accept(LogRecord)}
     * @param previousCoveredOffset the last offset that this instance had applied before records expired; restoring
     *     from a checkpoint record at or before it would set the state back
     */
    CheckpointLoader(
            ControlCodec codec, CheckpointRule checkpointRule, long firstReadOffset, long previousCoveredOffset) {
        this.codec = Objects.requireNonNull(codec, "codec");
        this.checkpointRule = Objects.requireNonNull(checkpointRule, "checkpointRule");
        this.firstReadOffset = firstReadOffset;
        this.previousCoveredOffset = previousCoveredOffset;
    }

    /**
     * Receives the next record.
     *
     * @param logRecord the record, not null
     * @return the state machine up to this record if the record is a usable checkpoint
     */
    Optional<ControlStateMachine> accept(LogRecord logRecord) {
        bufferedRecords.add(logRecord);
        return usableSnapshot(logRecord).map(snapshot -> {
            ControlStateMachine stateMachine = new ControlStateMachine(codec, snapshot);
            bufferedRecords.forEach(stateMachine::apply);
            return stateMachine;
        });
    }

    private Optional<ControlSnapshot> usableSnapshot(LogRecord logRecord) {
        Optional<ControlRecord> record = codec.decode(logRecord.payload());
        if (record.isPresent()
                && record.get() instanceof Checkpoint checkpoint
                && checkpoint.snapshot().coveredOffset() < logRecord.offset()
                && logRecord.offset() > previousCoveredOffset
                && checkpointRule.isUsable(checkpoint.snapshot().coveredOffset(), firstReadOffset)) {
            return Optional.of(checkpoint.snapshot());
        }
        return Optional.empty();
    }
}
