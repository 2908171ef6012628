package org.dogwoodwinch.standin;

/**
 * The limits of a log in memory.
 *
 * @param maxAppendsPerSecond appends that it takes in any second, over all streams
 * @param retentionMillis how long it keeps a record, in milliseconds
 */
public record MemoryLogLimits(int maxAppendsPerSecond, long retentionMillis) {

    /** What the platform gives: several hundred appends a second, records for an hour. */
    public static final MemoryLogLimits STANDARD = new MemoryLogLimits(400, 3_600_000);
}
