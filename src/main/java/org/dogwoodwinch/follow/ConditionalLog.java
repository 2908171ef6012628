package org.dogwoodwinch.follow;

import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.bytes.Bytes;

/** A log of the platform that takes a record only at the end that the writer names. */
@FunctionalInterface
public interface ConditionalLog {

    /** What became of a record. */
    sealed interface Appended permits Written, EndsElsewhere, Unknown {}

    /**
     * It was written.
     *
     * @param offset where it lies
     */
    record Written(long offset) implements Appended {}

    /**
     * The log ends elsewhere; nothing was written.
     *
     * @param endOffset its end
     */
    record EndsElsewhere(long endOffset) implements Appended {}

    /**
     * No usable answer: it may have been written, or be written later if the log then still ends there.
     *
     * @param reason what happened, for logs
     */
    record Unknown(String reason) implements Appended {}

    /**
     * Writes a record.
     *
     * @param content the record, not null
     * @param expectedEndOffset where the log has to end
     * @return completes with what became of it; never exceptionally
     */
    CompletionStage<Appended> append(Bytes content, long expectedEndOffset);
}
