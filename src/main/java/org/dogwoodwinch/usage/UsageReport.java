package org.dogwoodwinch.usage;

import java.util.Map;

/**
 * The counts of all instances in one window. Once it is in the log, every repetition has the same counts.
 *
 * @param window the window's number
 * @param counts the calls that began to run, by owner, not null
 */
public record UsageReport(long window, Map<String, Long> counts) {

    /** Copies the counts. */
    public UsageReport {
        counts = Map.copyOf(counts);
    }
}
