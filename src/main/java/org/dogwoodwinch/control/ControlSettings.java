package org.dogwoodwinch.control;

import java.util.Objects;
import org.dogwoodwinch.controllog.FollowerSettings;

/**
 * How an instance takes part in the control stream.
 *
 * @param instance this instance's name, not null
 * @param follower how the stream is followed, not null
 * @param tickMillis how often timers of leases and plans are looked at, in milliseconds
 * @param checkpointMillis how long after the last checkpoint the next one is due, in milliseconds; a quarter of the
 *     log's retention leaves time for three more tries and an outage before records that nobody copied expire
 * @param checkpointRecords how many records after the last checkpoint the next one is due, so that a start stays short
 * @param peerCollectionMillis during a log outage, how long a starter collects peers' catalogues before it takes the newest
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

    /** Checks the parts. */
    public ControlSettings {
        Objects.requireNonNull(instance, "instance");
        Objects.requireNonNull(follower, "follower");
    }

    /**
     * Returns the settings of a daemon.
     *
     * @param instance this instance's name, not null
     * @param logRetentionMillis how long the log keeps a record, in milliseconds
     * @return the settings
     */
    public static ControlSettings of(String instance, long logRetentionMillis) {
        return new ControlSettings(
                instance,
                FollowerSettings.CONTROL,
                DEFAULT_TICK_MILLIS,
                logRetentionMillis / 4,
                DEFAULT_CHECKPOINT_RECORDS,
                DEFAULT_PEER_COLLECTION_MILLIS);
    }
}
