package org.dogwoodwinch.control;

import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides when this instance puts the next checkpoint on the stream. Not thread-safe.
 *
 * <p>The age of a checkpoint is counted from when its covered offset was read here, not from when the checkpoint was: a
 * paused writer's old checkpoint, published late, must not put off the next one until the records after it have expired.
 * Each instance adds a random part to the wait, so that mostly one of them publishes and the others see it in time.
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
     * Creates the clock.
     *
     * @param intervalMillis the wait between checkpoints, in milliseconds
     * @param intervalRecords the records between checkpoints
     * @param random spreads the instances, not null
     */
    CheckpointSchedule(long intervalMillis, int intervalRecords, UniformRandomProvider random) {
        this.intervalMillis = intervalMillis;
        this.intervalRecords = intervalRecords;
        this.random = random;
    }

    /**
     * Notes how far the stream was read.
     *
     * @param offset the last offset read
     * @param nowMillis the monotonic time in milliseconds
     */
    void onProgress(long offset, long nowMillis) {
        if (dueMillis == Long.MAX_VALUE) {
            // A fresh instance does not know how old the last checkpoint is.
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
     * Notes a checkpoint that was read.
     *
     * @param checkpointOffset the last offset that it has folded in
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
     * Says whether a checkpoint is due; after true it says false until another wait is over.
     *
     * @param offset the last offset read
     * @param nowMillis the monotonic time in milliseconds
     * @return whether to publish one now
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
