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
final class FoldLoader {

    private final ControlCodec codec;
    private final CheckpointRule rule;
    private final long firstRead;
    private final long leastCovered;
    private final List<LogRecord> kept = new ArrayList<>();

    /**
     * Creates a loader.
     *
     * @param codec reads the records, not null
     * @param rule decides which checkpoints may be used, not null
     * @param firstRead the offset from which on every record is given to {@link #offer(LogRecord)}
     * @param leastCovered what this instance had folded before the gap; a state that covers less would be a step back
     */
    FoldLoader(ControlCodec codec, CheckpointRule rule, long firstRead, long leastCovered) {
        this.codec = Objects.requireNonNull(codec, "codec");
        this.rule = Objects.requireNonNull(rule, "rule");
        this.firstRead = firstRead;
        this.leastCovered = leastCovered;
    }

    /**
     * Takes the next record.
     *
     * @param logRecord the record, not null
     * @return the fold up to this record once there is a usable checkpoint
     */
    Optional<ControlFold> offer(LogRecord logRecord) {
        kept.add(logRecord);
        return usableSnapshot(logRecord).map(snapshot -> {
            ControlFold fold = new ControlFold(codec, snapshot);
            kept.forEach(fold::apply);
            return fold;
        });
    }

    private Optional<ControlSnapshot> usableSnapshot(LogRecord logRecord) {
        Optional<ControlRecord> record = codec.decode(logRecord.payload());
        if (record.isPresent()
                && record.get() instanceof Checkpoint checkpoint
                && checkpoint.snapshot().coveredOffset() < logRecord.offset()
                && logRecord.offset() > leastCovered
                && rule.usable(checkpoint.snapshot().coveredOffset(), firstRead)) {
            return Optional.of(checkpoint.snapshot());
        }
        return Optional.empty();
    }
}
