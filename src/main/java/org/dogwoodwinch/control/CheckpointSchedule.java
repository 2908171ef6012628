package org.dogwoodwinch.control;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides when this instance appends the next checkpoint to the control stream. Not thread-safe.
 *
 * <p>The age of a checkpoint is measured from the time at which this instance read its covered offset, not from the
 * time at which it read the checkpoint itself. Otherwise an old checkpoint that a paused writer appends late would
 * delay the next one until the records after its covered offset have expired. Each instance adds random jitter to the
 * interval, so that usually one instance publishes and the others read its checkpoint before they are due.
 */
final class CheckpointSchedule {

    private static final int MAX_READ_POSITIONS = 64;
    private static final int INTERVAL_DIVISOR = 4;

    private final long intervalMillis;
    private final int intervalRecords;
    private final UniformRandomProvider random;
    private final Deque<ReadPosition> readPositions = new ArrayDeque<>();
    private long dueMillis = Long.MAX_VALUE;
    private long coveredOffset = -1;

    /**
     * Creates a schedule.
     *
     * @param intervalMillis the interval between checkpoints, in milliseconds
     * @param intervalRecords the number of records between checkpoints
     * @param random the source of the jitter, not null
     */
    CheckpointSchedule(long intervalMillis, int intervalRecords, UniformRandomProvider random) {
        this.intervalMillis = intervalMillis;
        this.intervalRecords = intervalRecords;
        this.random = random;
    }

    /**
     * Records how far this instance has read the stream.
     *
     * @param offset the last offset that was read
     * @param nowMillis the monotonic time in milliseconds
     */
    void onProgress(long offset, long nowMillis) {
        if (dueMillis == Long.MAX_VALUE) {
            // A newly started instance does not know the age of the last checkpoint, so the first one is due after a
            // quarter of the interval plus jitter.
            dueMillis = nowMillis + intervalMillis / INTERVAL_DIVISOR + jitterMillis();
            coveredOffset = offset;
        }
        if (readPositions.isEmpty()
                || nowMillis - readPositions.peekLast().readMillis() >= intervalMillis * 2 / MAX_READ_POSITIONS) {
            readPositions.addLast(new ReadPosition(offset, nowMillis));
            if (readPositions.size() > MAX_READ_POSITIONS) {
                readPositions.removeFirst();
            }
        }
    }

    /**
     * Records that a checkpoint was read from the stream.
     *
     * @param checkpointOffset the last offset that the checkpoint covers
     */
    void onCheckpoint(long checkpointOffset) {
        if (checkpointOffset < coveredOffset) {
            return;
        }
        long readMillis = Long.MIN_VALUE;
        for (ReadPosition position : readPositions) {
            if (position.offset() <= checkpointOffset) {
                readMillis = position.readMillis();
            }
        }
        if (readMillis != Long.MIN_VALUE) {
            coveredOffset = checkpointOffset;
            dueMillis = readMillis + intervalMillis + jitterMillis();
        }
    }

    /**
     * Tests whether a checkpoint is due. If so, the next one is scheduled, so that further calls return false until
     * then.
     *
     * @param offset the last offset that was read
     * @param nowMillis the monotonic time in milliseconds
     * @return true if a checkpoint is to be published now
     */
    boolean takeDue(long offset, long nowMillis) {
        boolean due = nowMillis >= dueMillis || offset - coveredOffset >= intervalRecords + jitterRecords();
        if (due) {
            dueMillis = nowMillis + intervalMillis / INTERVAL_DIVISOR;
            coveredOffset = offset;
        }
        return due;
    }

    private long jitterMillis() {
        return random.nextLong(Math.max(1, intervalMillis / INTERVAL_DIVISOR));
    }

    private int jitterRecords() {
        return random.nextInt(Math.max(1, intervalRecords / INTERVAL_DIVISOR));
    }

    private record ReadPosition(long offset, long readMillis) {}
}
