package org.dogwoodwinch.measure;

/**
 * One timed answer.
 *
 * @param whole whether it ended as a whole one does
 * @param text its text, or what went wrong, not null
 * @param firstTokenNanos from the sending to the first piece, in nanoseconds
 * @param totalNanos from the sending to the end, in nanoseconds
 */
record PathAnswer(boolean whole, String text, long firstTokenNanos, long totalNanos) {}
