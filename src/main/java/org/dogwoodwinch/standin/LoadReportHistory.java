package org.dogwoodwinch.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import org.dogwoodwinch.target.LoadReport;

/** Keeps an engine's load reports for as long as they lag; its owner guards it. */
final class LoadReportHistory {

    private static final long SPACING_MILLIS = 50;

    private final Deque<LoadReport> reports = new ArrayDeque<>();

    /** Takes a report unless the last one is too recent to be worth keeping both. */
    void add(LoadReport report) {
        if (reports.isEmpty() || report.reportedAtMillis() >= reports.peekLast().reportedAtMillis() + SPACING_MILLIS) {
            reports.addLast(report);
        }
    }

    /** Returns the newest report that is at least as old as the limit, or the oldest there is. */
    LoadReport newestAsOldAs(long latestMillis) {
        LoadReport found = reports.peekFirst();
        while (!reports.isEmpty() && reports.peekFirst().reportedAtMillis() <= latestMillis) {
            found = reports.removeFirst();
        }
        if (found != null) {
            reports.addFirst(found);
        }
        return found;
    }
}
