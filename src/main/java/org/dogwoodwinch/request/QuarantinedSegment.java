package org.dogwoodwinch.request;

/**
 * A segment of prompts that is held back, as listed for operators.
 *
 * @param model the name of the model
 * @param segment the segment's id
 * @param crashes the crashes under it since an answer with it has begun, seen here or by other instances
 * @param trials the calls that were sent to find out whether it still crashes targets
 * @param lastCrashMillis the time since the last crash, in milliseconds
 * @param remainingMillis the time until a call with it may be tried, in milliseconds
 */
public record QuarantinedSegment(
        String model, String segment, int crashes, int trials, long lastCrashMillis, long remainingMillis) {}
