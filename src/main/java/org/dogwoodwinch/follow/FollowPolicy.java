package org.dogwoodwinch.follow;

/**
 * The times of following.
 *
 * @param waitMillis how long the platform may hold a reading call while there is no record
 * @param pauseMillis the pause between two reading calls; a stream that never rests is read in batches this far apart
 * @param firstBackoffMillis the pause after a call without an answer; it doubles with each further one
 * @param maxBackoffMillis the longest such pause
 */
public record FollowPolicy(long waitMillis, long pauseMillis, long firstBackoffMillis, long maxBackoffMillis) {}
