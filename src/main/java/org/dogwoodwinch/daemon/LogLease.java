package org.dogwoodwinch.daemon;

import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.follow.ConditionalLog;
import org.dogwoodwinch.follow.LogPosition;
import org.dogwoodwinch.forwarding.OrderLease;
import org.dogwoodwinch.time.TimeSource;

/**
 * Claims an {@link OrderLease} by appending records to its log. It serves every matter on which one instance at a time
 * sends orders or calls. Confined to one event loop.
 */
final class LogLease {

    private final ConditionalLog records;
    private final OrderLease lease;
    private final TimeSource time;

    LogLease(ConditionalLog records, OrderLease lease, TimeSource time) {
        this.records = Objects.requireNonNull(records, "records");
        this.lease = Objects.requireNonNull(lease, "lease");
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Returns the end that the log must have for a claim; empty while the lease of another holder may be valid. */
    OptionalLong claimableOffset() {
        return lease.claimableOffset(time.monotonicMillis());
    }

    /** Records the end of the log as it was read. */
    void recordReadEnd(long end) {
        lease.recordReadEnd(end, time.monotonicMillis());
    }

    /** Records that another holder was seen, whose record may not have been read yet. */
    void recordOtherHolder() {
        lease.recordUnknownOutcome(time.monotonicMillis());
    }

    /**
     * Appends a record that claims the lease.
     *
     * @param content the record, not null
     * @param expectedEnd the end that the log must have
     * @return a stage that completes with the outcome, never exceptionally
     */
    CompletionStage<Outcome> claim(Bytes content, long expectedEnd) {
        return claim(records, content, expectedEnd);
    }

    /**
     * Appends a record of another key to the same log, which claims the lease too.
     *
     * @param otherRecords appends records of the other key, not null
     * @param content the record, not null
     * @param expectedEnd the end that the log must have
     * @return a stage that completes with the outcome, never exceptionally
     */
    CompletionStage<Outcome> claim(ConditionalLog otherRecords, Bytes content, long expectedEnd) {
        long claimedMillis = time.monotonicMillis();
        long claimedWallMillis = time.wallMillis();
        return otherRecords.append(content, expectedEnd).thenApply(appended -> {
            if (appended instanceof ConditionalLog.Written written && isOfOtherEra(written.offset(), expectedEnd)) {
                lease.recordForeignEnd(written.offset() + 1, time.monotonicMillis());
                return new Outcome(appended, Optional.empty());
            }
            if (appended instanceof ConditionalLog.Written written) {
                lease.recordWritten(written.offset());
                return new Outcome(
                        appended, Optional.of(new Claim(written.offset(), claimedMillis, claimedWallMillis)));
            }
            if (appended instanceof ConditionalLog.EndOffsetMismatch mismatch) {
                lease.recordForeignEnd(mismatch.endOffset(), time.monotonicMillis());
            } else {
                lease.recordUnknownOutcome(time.monotonicMillis());
            }
            return new Outcome(appended, Optional.empty());
        });
    }

    /**
     * Returns whether the store came back from a copy between the last look at the log and an append. The copy may lack
     * the record of another holder whose lease is valid, so the append claims nothing and only shows the end of the log.
     */
    private static boolean isOfOtherEra(long writtenOffset, long expectedEnd) {
        return LogPosition.era(writtenOffset) != LogPosition.era(expectedEnd);
    }

    /** Returns whether an order or a call may still be sent under a claim, also after a suspension of this process. */
    boolean isValid(Claim claim) {
        return lease.isValid(time.monotonicMillis() - claim.claimedMillis, time.wallMillis() - claim.claimedWallMillis);
    }

    /**
     * The outcome of a claim.
     *
     * @param appended the outcome of the append, for logs, not null
     * @param claim the claim; empty unless the record was written
     */
    record Outcome(ConditionalLog.Appended appended, Optional<Claim> claim) {}

    /**
     * A record that permits orders or calls for a short time after it was sent to the log.
     *
     * @param token the record's position, which is the fencing token; it rises with the era of the store, too
     * @param claimedMillis when the record was sent, in monotonic milliseconds
     * @param claimedWallMillis the same by the wall clock, which counts a suspension
     */
    record Claim(long token, long claimedMillis, long claimedWallMillis) {}
}
