package org.dogwoodwinch.follow;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.bytes.Bytes;

/** A log of the platform whose appends are conditional on the expected end offset (optimistic concurrency). */
@FunctionalInterface
public interface ConditionalLog {

    /** The result of an append. */
    sealed interface Appended permits Written, EndOffsetMismatch, Unknown {

        /**
         * Returns this result if the store stated it.
         *
         * @return this result; empty if it is unknown
         */
        default Optional<Appended> ifKnown() {
            return this instanceof Unknown ? Optional.empty() : Optional.of(this);
        }

        /**
         * Returns whether this may be the result of an append. The results of earlier appends to a log are at other
         * offsets.
         *
         * @param expectedEndOffset the required end offset of that append; its era may be an earlier one
         * @return whether the offsets agree
         */
        default boolean mayAnswer(long expectedEndOffset) {
            long expected = LogPosition.offset(expectedEndOffset);
            if (this instanceof Written written) {
                return LogPosition.offset(written.offset()) == expected;
            }
            return !(this instanceof EndOffsetMismatch mismatch)
                    || LogPosition.offset(mismatch.endOffset()) != expected;
        }
    }

    /**
     * The record was written.
     *
     * @param offset the offset of the record
     */
    record Written(long offset) implements Appended {}

    /**
     * The log does not end at the expected offset, and nothing was written.
     *
     * @param endOffset the actual end offset of the log
     */
    record EndOffsetMismatch(long endOffset) implements Appended {}

    /**
     * The outcome is unknown. The record may have been written already, or may still be written later if the log then
     * still ends at the expected offset.
     *
     * @param reason the cause, for logs
     */
    record Unknown(String reason) implements Appended {}

    /**
     * Appends a record if the log ends at the expected offset.
     *
     * @param content the record, not null
     * @param expectedEndOffset the required end offset of the log
     * @return a stage that completes with the result of the append, and never exceptionally
     */
    CompletionStage<Appended> append(Bytes content, long expectedEndOffset);
}
