package org.dogwoodwinch.follow;

import java.util.Objects;
import org.dogwoodwinch.logging.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The latest known era of the store that a stream is read from. Confined to one thread.
 *
 * <p>Failure: the store comes back from a copy, and records of the lost history are delivered after those of the new one.
 * Each position carries its era ({@link LogPosition}), so that whatever belongs to an earlier era can be discarded.
 */
final class StreamEra {

    private static final Logger log = LoggerFactory.getLogger(StreamEra.class);

    private final String stream;
    private final Runnable onBegin;
    private long current;

    /**
     * Creates the first era.
     *
     * @param stream the stream's name, for logs, not null
     * @param onBegin discards what belongs to an earlier era, called after each begin of an era, not null
     */
    StreamEra(String stream, Runnable onBegin) {
        this.stream = Objects.requireNonNull(stream, "stream");
        this.onBegin = Objects.requireNonNull(onBegin, "onBegin");
    }

    /**
     * Begins an era, unless it is already known.
     *
     * @param newEra the era that the store stated, to this instance or to another one
     * @param source where it was learned, for logs, not null
     */
    void begin(long newEra, String source) {
        if (newEra <= current) {
            return;
        }
        LogEvent.of("stream_era")
                .with("stream", stream)
                .with("old", current)
                .with("new", newEra)
                .with("source", source)
                .info(log);
        current = newEra;
        onBegin.run();
    }

    /** Returns whether a position belongs to an earlier era. */
    boolean isEarlier(long position) {
        return LogPosition.era(position) < current;
    }

    /** Returns whether a position belongs to the latest known era, after beginning a later one. */
    boolean isCurrent(long position, String source) {
        begin(LogPosition.era(position), source);
        return LogPosition.era(position) == current;
    }
}
