package org.dogwoodwinch.controllog;

import java.util.Objects;

/**
 * Settings for following a stream of the log.
 *
 * @param stream the stream's name, not null
 * @param maxRecords the maximum number of records requested in one read, more than zero
 * @param waitMillis how long the log service may hold a read open while there is no new record, in milliseconds
 * @param retryMillis the delay before the next read after a failed read or an empty answer that came early, in
 *     milliseconds
 * @param answerMillis how long after {@code waitMillis} an unanswered read times out, in milliseconds
 */
public record FollowerSettings(String stream, int maxRecords, long waitMillis, long retryMillis, long answerMillis) {

    /** The settings with which daemons follow the control stream. */
    public static final FollowerSettings CONTROL_STREAM = new FollowerSettings("control", 500, 10_000, 200, 5_000);

    /** Validates the components. */
    public FollowerSettings {
        Objects.requireNonNull(stream, "stream");
    }
}
