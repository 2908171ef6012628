package org.dogwoodwinch.standin.platform;

import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/**
 * The bytes that a stand-in target sends once more after an answer.
 *
 * @param bytes the second answer, whole or cut off, not null
 * @param timing when it is sent, not null
 * @param delayMillis the time after the end of the first answer; used with {@link Timing#AFTER_DELAY} alone
 * @param closesAfter whether the connection is closed after it
 */
public record SecondAnswer(Bytes bytes, Timing timing, long delayMillis, boolean closesAfter) {

    /** Checks. */
    public SecondAnswer {
        Objects.requireNonNull(bytes, "bytes");
        Objects.requireNonNull(timing, "timing");
    }

    /** When a second answer is sent. It is never sent within another answer. */
    public enum Timing {
        /** In the same write as the end of the first answer. */
        WITH_FIRST_ANSWER,
        /** After a delay; if another answer is being written then, after the end of that one. */
        AFTER_DELAY,
        /** When the next request on the connection has arrived. */
        AT_NEXT_REQUEST,
        /** In the same write as the begin of the next answer on the connection. */
        WITH_NEXT_ANSWER
    }
}
