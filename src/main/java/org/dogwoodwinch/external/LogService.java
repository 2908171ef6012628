package org.dogwoodwinch.external;

import java.util.concurrent.CompletionStage;

/**
 * The platform's append-only log: the only thing that lasts, and the only order that all instances share.
 *
 * <p>Outcomes are values: the stages complete normally, with an outage as one of the results.
 */
public interface LogService {

    /**
     * Appends one record.
     *
     * @param stream the stream's name, not null
     * @param payload the content, UTF-8 JSON, not null
     * @return what is known of the append; {@link AppendResult.Unknown} where it may have taken effect
     */
    CompletionStage<AppendResult> append(String stream, String payload);

    /**
     * Reads records in offset order.
     *
     * @param stream the stream's name, not null
     * @param fromOffset the first offset wanted
     * @param maxRecords at most so many records, more than zero
     * @param waitMillis how long the service may wait for a first record where there is none yet
     * @return the records, or why there are none
     */
    CompletionStage<ReadResult> read(String stream, long fromOffset, int maxRecords, long waitMillis);
}
