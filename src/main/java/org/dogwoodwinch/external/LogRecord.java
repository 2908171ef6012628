package org.dogwoodwinch.external;

import java.util.Objects;

/**
 * One record of a stream of the platform's log.
 *
 * @param offset the record's place in its stream; offsets only grow, and may leave gaps
 * @param payload the record's content in UTF-8 JSON, not null
 */
public record LogRecord(long offset, String payload) {

    /** Checks the content. */
    public LogRecord {
        Objects.requireNonNull(payload, "payload");
    }
}
