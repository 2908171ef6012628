package org.dogwoodwinch.target.http;

/**
 * How long calls to targets may take and how much they may answer.
 *
 * @param callMillis a short call, such as a load report, in milliseconds
 * @param orderMillis an order, in milliseconds; stays inside the lease
 * @param resumeMillis a resumed stream as a whole, in milliseconds
 * @param silenceMillis how long a running stream may bring nothing, in milliseconds
 * @param maxAnswerBytes the longest answer that is not a stream, in bytes
 */
public record TargetTimeouts(
        long callMillis, long orderMillis, long resumeMillis, long silenceMillis, int maxAnswerBytes) {

    /** What daemons use. */
    public static final TargetTimeouts STANDARD = new TargetTimeouts(2_000, 5_000, 3_600_000, 30_000, 8 << 20);
}
