package org.dogwoodwinch.external.http;

import java.util.List;
import org.dogwoodwinch.external.LogRecord;

/** The shapes of the log service's answers. */
public final class LogWire {

    private LogWire() {}

    /**
     * The answer to an append that took effect.
     *
     * @param offset the record's offset
     */
    public record AppendAnswer(long offset) {}

    /**
     * The answer to a read.
     *
     * @param records the records in offset order
     * @param firstRetainedOffset the oldest offset kept
     * @param endOffset the offset that the next append would get
     */
    public record ReadAnswer(List<LogRecord> records, long firstRetainedOffset, long endOffset) {}
}
