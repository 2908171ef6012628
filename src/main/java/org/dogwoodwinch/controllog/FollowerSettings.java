package org.dogwoodwinch.controllog;

import java.util.Objects;

/**
 * How a stream is followed.
 *
 * @param stream the stream's name, not null
 * @param maxRecords the most records asked for in one read, more than zero
 * @param waitMillis how long the service may hold a read open where there is no record yet, in milliseconds
 * @param retryMillis the wait before the next read after an outage or an early empty answer, in milliseconds
 * @param answerMillis how long past {@code waitMillis} a read may stay without an answer before it is given up
 */
public record FollowerSettings(String stream, int maxRecords, long waitMillis, long retryMillis, long answerMillis) {

    /** The control stream as daemons follow it. */
    public static final FollowerSettings CONTROL = new FollowerSettings("control", 500, 10_000, 200, 5_000);

    /** Checks the parts. */
    public FollowerSettings {
        Objects.requireNonNull(stream, "stream");
    }
}
