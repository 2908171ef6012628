package org.dogwoodwinch.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.dogwoodwinch.controllog.ControlRecord;
import org.dogwoodwinch.external.LogRecord;

/**
 * Finds a state to go on from when the first records of the stream have expired. Not thread-safe.
 *
 * <p>It keeps the records that it is given until a usable checkpoint comes by, and then folds the kept records onto it.
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
     * @param codec reads the records, not null
     * @param checkpointRule decides which checkpoints may be used, not null
     * @param firstReadOffset the offset from which on every record is given to {@link #accept(LogRecord)}
     * @param previousCoveredOffset what this instance had folded before the gap; a state that covers less would be a step back
     */
    CheckpointLoader(
            ControlCodec codec, CheckpointRule checkpointRule, long firstReadOffset, long previousCoveredOffset) {
        this.codec = Objects.requireNonNull(codec, "codec");
        this.checkpointRule = Objects.requireNonNull(checkpointRule, "rule");
        this.firstReadOffset = firstReadOffset;
        this.previousCoveredOffset = previousCoveredOffset;
    }

    /**
     * Takes the next record.
     *
     * @param logRecord the record, not null
     * @return the fold up to this record once there is a usable checkpoint
     */
    Optional<ControlFold> accept(LogRecord logRecord) {
        bufferedRecords.add(logRecord);
        return usableSnapshot(logRecord).map(snapshot -> {
            ControlFold stateMachine = new ControlFold(codec, snapshot);
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
