package org.dogwoodwinch.follow;

/**
 * The polling and back-off intervals of a {@link StreamFollower}.
 *
 * @param longPollMillis the long-poll time-out: how long the platform may hold a read while there is no record
 * @param pollIntervalMillis the pause between two reads; a stream that changes all the time is read in batches at this
 *     interval. Zero for a stream that pauses by itself before it reads the platform
 * @param firstBackoffMillis the back-off after the first failed read; it doubles with each further failure
 * @param maxBackoffMillis the upper limit of the back-off
 */
public record FollowerPolicy(
        long longPollMillis, long pollIntervalMillis, long firstBackoffMillis, long maxBackoffMillis) {}
