package org.dogwoodwinch.forwarding;

import java.util.OptionalLong;

/**
 * The right to give orders, for one order at a time: a record at the end of a log of the platform, whose offset is the
 * fencing token. Pure: the caller writes the record and tells what became of it. Not thread-safe.
 *
 * <p>Failure: an instance that is frozen after it was given the right wakes and gives its order beside that of its
 * successor; engines that do not check tokens carry out both. The right therefore ends a short time after the record was
 * sent, on the clock that counts a suspension too, and a successor waits from when it first saw the record until that
 * time, the time for which orders of two holders must be apart, and a margin have passed. Records are never reused: after
 * an answer that was lost, the next token is a higher one.
 */
public final class OrderLease {

    private final long validMillis;
    private final long separationMillis;
    private long endOffset;
    private long endSeenAtMillis = Long.MIN_VALUE;
    private boolean endIsOwn = true;

    /**
     * Creates a lease that nobody holds: the log is taken for empty until it is known better.
     *
     * @param validMillis how long after the record was sent an order may be given
     * @param separationMillis how far apart orders of two holders have to be, with what clocks and links may add
     */
    public OrderLease(long validMillis, long separationMillis) {
        this.validMillis = validMillis;
        this.separationMillis = separationMillis;
    }

    /**
     * Returns where a record may be written now.
     *
     * @param nowMillis monotonic milliseconds
     * @return the end that the log has to have; empty while another's right may stand
     */
    public OptionalLong mayClaimAt(long nowMillis) {
        boolean otherLeaseOver = endIsOwn || nowMillis - endSeenAtMillis >= validMillis + separationMillis;
        return otherLeaseOver ? OptionalLong.of(endOffset) : OptionalLong.empty();
    }

    /**
     * The record was written.
     *
     * @param offset where it lies, which is the fencing token
     */
    public void written(long offset) {
        endOffset = offset + 1;
        endIsOwn = true;
    }

    /**
     * The log ends elsewhere: another instance wrote, or an earlier record of this one whose answer was lost.
     *
     * @param end where it ends
     * @param nowMillis monotonic milliseconds
     */
    public void endsElsewhere(long end, long nowMillis) {
        endOffset = end;
        endIsOwn = false;
        endSeenAtMillis = nowMillis;
    }

    /**
     * There was no answer: the record may be there, or come later.
     *
     * @param nowMillis monotonic milliseconds
     */
    public void unknown(long nowMillis) {
        endIsOwn = false;
        endSeenAtMillis = nowMillis;
    }

    /**
     * Says whether an order may still be given by a record.
     *
     * @param monotonicElapsedMillis since just before the record was sent
     * @param wallElapsedMillis the same by the time of day, which counts a suspension
     * @return whether the right stands
     */
    public boolean valid(long monotonicElapsedMillis, long wallElapsedMillis) {
        return Math.max(monotonicElapsedMillis, Math.abs(wallElapsedMillis)) < validMillis;
    }
}
