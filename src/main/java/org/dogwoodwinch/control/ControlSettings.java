package org.dogwoodwinch.control;

import java.util.Objects;
import org.dogwoodwinch.controllog.FollowerSettings;

/**
 * Settings of an instance for following and maintaining the control stream.
 *
 * @param instance the name of this instance, not null
 * @param follower the settings for following the stream, not null
 * @param tickMillis the interval at which the timers of leases and plans are checked, in milliseconds
 * @param checkpointMillis how long after the last checkpoint the next one is due, in milliseconds; a quarter of the
 *     log's retention leaves time for three more attempts and an outage before records that no checkpoint covers expire
 * @param checkpointRecords how many records after the last checkpoint the next one is due; this bounds the number of
 *     records that a starting instance replays
 * @param peerCollectionMillis how long an instance that starts during a log outage collects the catalogues of peers
 *     before it uses the newest, in milliseconds
 */
public record ControlSettings(
        String instance,
        FollowerSettings follower,
        long tickMillis,
        long checkpointMillis,
        int checkpointRecords,
        long peerCollectionMillis) {

    private static final long DEFAULT_TICK_MILLIS = 200;
    private static final int DEFAULT_CHECKPOINT_RECORDS = 20_000;
    private static final long DEFAULT_PEER_COLLECTION_MILLIS = 2_000;

    /** Validates the components. */
    public ControlSettings {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(follower, "follower");
    }

    /**
     * Returns the settings that a daemon uses.
     *
     * @param instance the name of this instance, not null
     * @param logRetentionMillis how long the log keeps a record, in milliseconds
     * @return the settings
     */
    public static ControlSettings of(String instance, long logRetentionMillis) {
        return new ControlSettings(
                instance,
                FollowerSettings.CONTROL_STREAM,
                DEFAULT_TICK_MILLIS,
                logRetentionMillis / 4,
                DEFAULT_CHECKPOINT_RECORDS,
                DEFAULT_PEER_COLLECTION_MILLIS);
    }
}
