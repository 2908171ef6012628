package org.dogwoodwinch.external;

import java.util.List;
import java.util.function.Function;

/** The outcome of reading a stream of the log. */
public sealed interface ReadResult {

    /**
     * Records in offset order, with no retained record between the offset asked for and the last one left out.
     *
     * @param records the records; empty where there is none yet
     * @param firstRetainedOffset the oldest offset that the service still keeps
     * @param endOffset the offset that the next append would get
     */
    record Records(List<LogRecord> records, long firstRetainedOffset, long endOffset) implements ReadResult {

        /** Copies the list. */
        public Records {
            records = List.copyOf(records);
        }
    }

    /**
     * The offset asked for has expired: records in between are gone.
     *
     * @param firstRetainedOffset the oldest offset that the service still keeps
     * @param endOffset the offset that the next append would get
     */
    record Expired(long firstRetainedOffset, long endOffset) implements ReadResult {}

    /**
     * The service did not answer.
     *
     * @param detail what went wrong
     */
    record Unavailable(String detail) implements ReadResult {}

    /**
     * Calls the function of this result's kind.
     *
     * @param records for {@link Records}
     * @param expired for {@link Expired}
     * @param unavailable for {@link Unavailable}
     * @param <T> what the functions return
     * @return what the function returned
     */
    default <T> T match(
            Function<Records, T> records, Function<Expired, T> expired, Function<Unavailable, T> unavailable) {
        if (this instanceof Records value) {
            return records.apply(value);
        }
        if (this instanceof Expired value) {
            return expired.apply(value);
        }
        return unavailable.apply((Unavailable) this);
    }
}
