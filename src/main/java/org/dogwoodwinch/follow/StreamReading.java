package org.dogwoodwinch.follow;

import java.util.Locale;
import java.util.Objects;

/**
 * What is known of the records that were delivered last.
 *
 * @param source where they were read, not null
 * @param acknowledgedAfterMillis a moment before which none of them was acknowledged, since the stream was known up to the
 *     first of them then; in monotonic milliseconds of this process, {@link StreamCoverage#UNKNOWN_MILLIS} before the stream
 *     was known at all
 * @param storeReturnedMillis when the store was first reached again, by any instance, after it had been away for all of
 *     them; {@link StreamCoverage#UNKNOWN_MILLIS} if it never was
 */
public record StreamReading(Source source, long acknowledgedAfterMillis, long storeReturnedMillis) {

    /** The reading before any record was delivered. */
    static final StreamReading NONE =
            new StreamReading(Source.STORE, StreamCoverage.UNKNOWN_MILLIS, StreamCoverage.UNKNOWN_MILLIS);

    /** Checks that the source is not null. */
    public StreamReading {
        Objects.requireNonNull(source, "source");
    }

    /** Where records were read. */
    public enum Source {
        /** This instance read the store. */
        STORE,
        /** Another instance read the store and published the records. */
        UPDATE,
        /** Another instance sent its whole state. */
        SNAPSHOT;

        /**
         * Returns the name in logs.
         *
         * @return the name in lower case
         */
        public String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
