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
    private final CheckpointRule rule;
    private final FoldListener listener;
    private ControlFold fold;
    private FoldLoader loader;
    private boolean caughtUp;
    private boolean logOut;
    private long endOffset = -1;

    /**
     * Creates a reader at the beginning of the stream.
     *
     * @param codec reads the records, not null
     * @param rule decides which checkpoints may be used, not null
     * @param listener hears the records that are folded one by one, not null
     */
    ControlReader(ControlCodec codec, CheckpointRule rule, FoldListener listener) {
        this.codec = Objects.requireNonNull(codec, "codec");
        this.rule = Objects.requireNonNull(rule, "rule");
        this.listener = Objects.requireNonNull(listener, "listener");
        this.fold = new ControlFold(codec, ControlSnapshot.EMPTY);
    }

    @Override
    public void onRecords(ReadResult.Records records) {
        logOut = false;
        endOffset = records.endOffset();
        records.records().forEach(this::take);
        long nextOffset = records.records().isEmpty()
                ? records.endOffset()
                : records.records().get(records.records().size() - 1).offset() + 1;
        if (loader == null && nextOffset >= records.endOffset()) {
            caughtUp = true;
        }
    }

    @Override
    public void onExpired(ReadResult.Expired expired) {
        logOut = false;
        caughtUp = false;
        endOffset = expired.endOffset();
        loader = new FoldLoader(codec, rule, expired.firstRetainedOffset(), fold.coveredOffset());
    }

    @Override
    public void onUnavailable(String _detail) {
        logOut = true;
    }

    /**
     * Returns the state.
     *
     * @return the fold; only as new as the last usable record while {@link #isCaughtUp()} is false
     */
    ControlFold fold() {
        return fold;
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
    boolean isLogOut() {
        return logOut;
    }

    /**
     * Says whether records have expired that no checkpoint read so far makes up for.
     *
     * @return true until a usable checkpoint comes by
     */
    boolean isMissingRecords() {
        return loader != null;
    }

    /**
     * Returns where the log ended at the last answer.
     *
     * @return the offset that the next append would have got; -1 before the first answer
     */
    long endOffset() {
        return endOffset;
    }

    private void take(LogRecord logRecord) {
        if (loader == null) {
            fold.apply(logRecord).ifPresent(listener::onFolded);
            return;
        }
        Optional<ControlFold> loaded = loader.offer(logRecord);
        if (loaded.isPresent()) {
            fold = loaded.get();
            loader = null;
        }
    }
}
