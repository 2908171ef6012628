package org.dogwoodwinch.usage;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Decides when a window is reported and with which counts. Pure: the caller reads the log and sends the report.
 *
 * <p>Load: instances publish their counts shortly after a window, some of them late or never. A window is reported as
 * soon as every instance that counted in the window before has published it, and otherwise at a fixed time before the
 * report is due, with what is known: a report that is slightly off is worth more than none.
 */
public final class UsagePlanner {

    /** A report is decided this long before it is due, which covers a change of the holder. */
    private static final long DECISION_LEAD_MILLIS = 3_000;

    /** Windows that ended longer ago are given up: their counts have left the instances' records. */
    private static final long MAX_BEHIND_MILLIS = 60_000;

    private final long windowMillis;
    private final long settleMillis;
    private final long decisionMillis;

    /**
     * Creates a planner.
     *
     * @param windowMillis the length of a window
     * @param settleMillis the time after a window within which instances publish their counts
     * @param dueMillis the time after a window at which its report is due
     */
    public UsagePlanner(long windowMillis, long settleMillis, long dueMillis) {
        this.windowMillis = windowMillis;
        this.settleMillis = settleMillis;
        this.decisionMillis = Math.max(settleMillis, dueMillis - DECISION_LEAD_MILLIS);
    }

    /**
     * Returns whether the window after the decided ones may be reported by now, before any counts are read.
     *
     * @param decidedThrough the newest decided window; empty if there is none or it is not known
     * @param wallMillis now, in milliseconds since 1970
     * @return whether it is worth reading the counts
     */
    public boolean isReportPossible(Optional<Long> decidedThrough, long wallMillis) {
        return decidedThrough.isEmpty() || wallMillis >= endMillis(decidedThrough.get() + 1) + settleMillis;
    }

    /**
     * Returns the window at a moment.
     *
     * @param wallMillis the moment, in milliseconds since 1970
     * @return its number
     */
    public long windowAt(long wallMillis) {
        return Math.floorDiv(wallMillis, windowMillis);
    }

    /**
     * Returns the report of the window after the decided ones, if it is time for it.
     *
     * @param reported the newest reports, not null
     * @param instances what the instances have published, not null
     * @param firstWindow the first window that may be reported; reports of earlier ones may be lost and must not be
     *     decided again
     * @param wallMillis now, in milliseconds since 1970
     * @return the report; empty if the window is not over, or counts may still arrive in time
     */
    public Optional<UsageReport> nextReport(
            ReportedUsage reported, Collection<InstanceUsage> instances, long firstWindow, long wallMillis) {
        Optional<Long> window = nextWindow(reported, instances, wallMillis).map(next -> Math.max(next, firstWindow));
        if (window.isEmpty()) {
            return Optional.empty();
        }
        long sinceEndMillis = wallMillis - endMillis(window.get());
        boolean isDue = sinceEndMillis >= decisionMillis
                || (sinceEndMillis >= settleMillis && isComplete(window.get(), instances));
        return isDue ? Optional.of(new UsageReport(window.get(), sum(window.get(), instances))) : Optional.empty();
    }

    /**
     * Returns whether no window that may still be reported needs an instance's record.
     *
     * @param usage what the instance has published last, not null
     * @param wallMillis now, in milliseconds since 1970
     * @return whether the record can be deleted
     */
    public boolean isObsolete(InstanceUsage usage, long wallMillis) {
        return endMillis(usage.closedThrough()) < wallMillis - 2 * MAX_BEHIND_MILLIS;
    }

    private Optional<Long> nextWindow(ReportedUsage reported, Collection<InstanceUsage> instances, long wallMillis) {
        long oldest = Math.floorDiv(wallMillis - MAX_BEHIND_MILLIS, windowMillis);
        Optional<Long> next = reported.decidedThrough().map(decided -> decided + 1);
        return next.or(() -> instances.stream()
                        .flatMap(usage -> usage.countsByWindow().keySet().stream())
                        .min(Long::compare))
                .map(window -> Math.max(window, oldest));
    }

    /** Returns whether every instance that closed the window before has closed this one too. */
    private static boolean isComplete(long window, Collection<InstanceUsage> instances) {
        return instances.stream()
                .filter(usage -> usage.closedThrough() >= window - 1)
                .allMatch(usage -> usage.closedThrough() >= window);
    }

    private static Map<String, Long> sum(long window, Collection<InstanceUsage> instances) {
        Map<String, Long> counts = new TreeMap<>();
        for (InstanceUsage usage : instances) {
            usage.countsIn(window).forEach((owner, count) -> counts.merge(owner, count, Long::sum));
        }
        return counts;
    }

    private long endMillis(long window) {
        return (window + 1) * windowMillis;
    }
}
