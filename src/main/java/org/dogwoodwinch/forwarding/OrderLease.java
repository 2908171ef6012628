package org.dogwoodwinch.forwarding;

import java.util.OptionalLong;

/**
 * A lease that permits one control order at a time. It is a record at the end of a log of the platform, and the
 * record's offset is the fencing token. Performs no I/O: the caller writes the record and reports the outcome. Not
 * thread-safe.
 *
 * <p>Failure: an instance is suspended after it acquired the lease, and on waking sends its order beside that of its
 * successor; engines that do not check fencing tokens execute both. The lease therefore ends a short time after the
 * record was sent, on the clock that also counts a suspension. A successor waits from the time at which it first saw
 * the record until the validity period, the required separation between orders of two holders, and a margin have
 * passed. Records are never reused: after a lost answer, the next token is a higher one.
 */
public final class OrderLease {

    private final long validMillis;
    private final long separationMillis;
    private long endOffset;
    private long endSeenAtMillis = Long.MIN_VALUE;
    private boolean endIsOwn = true;

    /**
     * Creates a lease without a holder. The log is assumed to be empty until its end is recorded.
     *
     * @param validMillis time after the record was sent within which an order may be sent
     * @param separationMillis required time between orders of two holders, including a margin for clock differences
     *     and network delay
     */
    public OrderLease(long validMillis, long separationMillis) {
        this.validMillis = validMillis;
        this.separationMillis = separationMillis;
    }

    /**
     * Returns the offset at which a record may be written now.
     *
     * @param nowMillis monotonic milliseconds
     * @return the end that the log must have; empty while the lease of another holder may be valid
     */
    public OptionalLong claimableOffset(long nowMillis) {
        boolean otherLeaseOver = endIsOwn || nowMillis - endSeenAtMillis >= validMillis + separationMillis;
        return otherLeaseOver ? OptionalLong.of(endOffset) : OptionalLong.empty();
    }

    /**
     * Records that the record was written.
     *
     * @param offset the record's offset, which is the fencing token
     */
    public void recordWritten(long offset) {
        endOffset = offset + 1;
        endIsOwn = true;
    }

    /**
     * Records that the log has a different end: another instance wrote a record, or an earlier record of this
     * instance whose answer was lost was written.
     *
     * @param end the end of the log
     * @param nowMillis monotonic milliseconds
     */
    public void recordForeignEnd(long end, long nowMillis) {
        endOffset = end;
        endIsOwn = false;
        endSeenAtMillis = nowMillis;
    }

    /**
     * Records the end of the log as it was read. An end other than the last known one means that another instance, or
     * an earlier start of this one, wrote a record.
     *
     * @param end the end of the log
     * @param nowMillis monotonic milliseconds
     */
    public void recordReadEnd(long end, long nowMillis) {
        if (end != endOffset) {
            recordForeignEnd(end, nowMillis);
        }
    }

    /**
     * Records that the write was not answered: the record may have been written or may be written later.
     *
     * @param nowMillis monotonic milliseconds
     */
    public void recordUnknownOutcome(long nowMillis) {
        endIsOwn = false;
        endSeenAtMillis = nowMillis;
    }

    /**
     * Returns whether an order may still be sent under a record.
     *
     * @param monotonicElapsedMillis monotonic time since just before the record was sent
     * @param wallElapsedMillis wall-clock time since then, which counts a suspension
     * @return whether the lease is valid
     */
    public boolean isValid(long monotonicElapsedMillis, long wallElapsedMillis) {
        return Math.max(monotonicElapsedMillis, Math.abs(wallElapsedMillis)) < validMillis;
    }
}
