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
final class CheckpointClock {

    private static final int MARKS = 64;
    private static final int START_DIVISOR = 4;

    private final long everyMillis;
    private final int everyRecords;
    private final UniformRandomProvider random;
    private final Deque<Mark> marks = new ArrayDeque<>();
    private long dueMillis = Long.MAX_VALUE;
    private long coveredOffset = -1;

    /**
     * Creates the clock.
     *
     * @param everyMillis the wait between checkpoints, in milliseconds
     * @param everyRecords the records between checkpoints
     * @param random spreads the instances, not null
     */
    CheckpointClock(long everyMillis, int everyRecords, UniformRandomProvider random) {
        this.everyMillis = everyMillis;
        this.everyRecords = everyRecords;
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
            dueMillis = nowMillis + everyMillis / START_DIVISOR + jitterMillis();
            coveredOffset = offset;
        }
        if (marks.isEmpty() || nowMillis - marks.peekLast().readMillis() >= everyMillis * 2 / MARKS) {
            marks.addLast(new Mark(offset, nowMillis));
            if (marks.size() > MARKS) {
                marks.removeFirst();
            }
        }
    }

    /**
     * Notes a checkpoint that was read.
     *
     * @param covered the last offset that it has folded in
     */
    void onCheckpoint(long covered) {
        if (covered < coveredOffset) {
            return;
        }
        long readMillis = Long.MIN_VALUE;
        for (Mark mark : marks) {
            if (mark.offset() <= covered) {
                readMillis = mark.readMillis();
            }
        }
        if (readMillis != Long.MIN_VALUE) {
            coveredOffset = covered;
            dueMillis = readMillis + everyMillis + jitterMillis();
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
        boolean due = nowMillis >= dueMillis || offset - coveredOffset >= everyRecords + jitterRecords();
        if (due) {
            dueMillis = nowMillis + everyMillis / START_DIVISOR;
            coveredOffset = offset;
        }
        return due;
    }

    private long jitterMillis() {
        return random.nextLong(Math.max(1, everyMillis / START_DIVISOR));
    }

    private int jitterRecords() {
        return random.nextInt(Math.max(1, everyRecords / START_DIVISOR));
    }

    private record Mark(long offset, long readMillis) {}
}
