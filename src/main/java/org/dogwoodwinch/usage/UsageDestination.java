package org.dogwoodwinch.usage;

import java.util.concurrent.CompletionStage;

/** Receives the reports of windows. */
@FunctionalInterface
public interface UsageDestination {

    /**
     * Sends a report.
     *
     * @param holder the name of the instance that holds the duty, not null
     * @param fencingToken a number that increases with each change of the holder
     * @param report the report, not null
     * @return a stage that completes with the outcome, never exceptionally
     */
    CompletionStage<DutyOutcome> send(String holder, long fencingToken, UsageReport report);
}
