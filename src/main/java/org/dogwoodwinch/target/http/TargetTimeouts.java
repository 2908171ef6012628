package org.dogwoodwinch.target.http;

/**
 * Timeouts of calls to targets, and the maximum size of their answers.
 *
 * @param callMillis the timeout of a short call, such as a load report, in milliseconds
 * @param orderMillis the timeout of an order, in milliseconds; shorter than the lease under which the order is sent
 * @param resumeMillis the timeout of a resumed stream as a whole, in milliseconds
 * @param silenceMillis the maximum time without data on a running stream, in milliseconds
 * @param maxAnswerBytes the maximum size of an answer that is not a stream, in bytes
 */
public record TargetTimeouts(
        long callMillis, long orderMillis, long resumeMillis, long silenceMillis, int maxAnswerBytes) {

    /** The timeouts that daemons use. */
    public static final TargetTimeouts DEFAULT = new TargetTimeouts(2_000, 5_000, 3_600_000, 30_000, 8 << 20);
}
