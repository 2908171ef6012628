package org.dogwoodwinch.queueing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The work that was recently sent for owners: by this instance, and by the other instances as far as they report it. Not
 * thread-safe.
 *
 * <p>Failure: in a large fleet an instance often has waiting calls of a single owner. By its own queue alone it sends them
 * as soon as a target has capacity, and calls of all other owners wait elsewhere for the same capacity. An owner that gets
 * much more than the mean is therefore held back while targets are nearly full.
 *
 * <p>Load: 1,900 owners and 480 instances. A report names only the largest owners, so that its size does not grow with the
 * number of calls or owners; an owner that is not among them uses too little to be held back.
 */
public final class OwnerShares {

    /** Number of owners that a report names. */
    public static final int MAX_NAMED_OWNERS = 16;

    /** About the time for which calls wait under overload, so that a burst is forgotten once its calls were served. */
    private static final double TIME_CONSTANT_MILLIS = 4_000;

    /** Multiple of the mean use from which an owner is held back; random arrivals vary by less. */
    private static final double MAX_USE_RATIO = 2;

    /**
     * Time for which capacity counts as short after a call had to wait. Without shortage no owner is held back, however
     * much it gets.
     */
    private static final long SHORTAGE_MILLIS = 4_000;

    /** Part of all work below which an owner does not count as active. */
    private static final double MIN_ACTIVE_RATIO = 0.001;

    /** Interval between removals of inactive owners: a removal examines all owners, which is too much for each call. */
    private static final long PRUNE_INTERVAL_MILLIS = 500;

    private final Map<String, DecayingSum> usedWork = new HashMap<>();
    private final DecayingSum allWork = new DecayingSum(TIME_CONSTANT_MILLIS);
    private final Map<String, Long> unreportedWork = new HashMap<>();
    private long prunedMillis;
    private long shortUntilMillis = Long.MIN_VALUE;

    /**
     * Records a call that was sent.
     *
     * @param owner the name of its owner, not null
     * @param work the work of the call
     * @param nowMillis the time in monotonic milliseconds
     */
    public void recordRelease(String owner, long work, long nowMillis) {
        recordUse(owner, work, nowMillis);
        unreportedWork.merge(owner, work, Long::sum);
    }

    /**
     * Records what other instances sent.
     *
     * @param report their report, not null
     * @param nowMillis the time in monotonic milliseconds
     */
    public void recordReport(Report report, long nowMillis) {
        report.workByOwner().forEach((owner, work) -> recordUse(owner, work, nowMillis));
        allWork.add((double) report.restWork(), nowMillis);
    }

    /**
     * Records that targets had no capacity for a call.
     *
     * @param nowMillis the time in monotonic milliseconds
     */
    public void recordShortage(long nowMillis) {
        shortUntilMillis = nowMillis + SHORTAGE_MILLIS;
    }

    /**
     * Returns whether capacity is short and an owner recently got much more than the mean of all owners that sent calls.
     *
     * @param owner the name of the owner, not null
     * @param nowMillis the time in monotonic milliseconds
     * @return false for an owner without use, and for the only one
     */
    public boolean isAboveShare(String owner, long nowMillis) {
        DecayingSum used = usedWork.get(owner);
        return nowMillis <= shortUntilMillis
                && used != null
                && used.at(nowMillis) * usedWork.size() > MAX_USE_RATIO * allWork.at(nowMillis);
    }

    private void recordUse(String owner, long work, long nowMillis) {
        usedWork.computeIfAbsent(owner, _owner -> new DecayingSum(TIME_CONSTANT_MILLIS))
                .add((double) work, nowMillis);
        allWork.add((double) work, nowMillis);
        if (nowMillis - prunedMillis >= PRUNE_INTERVAL_MILLIS) {
            prunedMillis = nowMillis;
            double minimum = allWork.at(nowMillis) * MIN_ACTIVE_RATIO;
            usedWork.values().removeIf(each -> each.at(nowMillis) < minimum);
        }
    }

    /**
     * Returns what was sent since the last report and begins the next one.
     *
     * @return the report, without owners if nothing was sent
     */
    public Report takeReport() {
        List<Map.Entry<String, Long>> largestFirst = unreportedWork.entrySet().stream()
                .sorted(Map.Entry.<String, Long>comparingByValue(Comparator.reverseOrder())
                        .thenComparing(Map.Entry.comparingByKey()))
                .toList();
        Map<String, Long> named = new LinkedHashMap<>();
        long restWork = 0;
        for (Map.Entry<String, Long> entry : largestFirst) {
            if (named.size() < MAX_NAMED_OWNERS) {
                named.put(entry.getKey(), entry.getValue());
            } else {
                restWork += entry.getValue();
            }
        }
        unreportedWork.clear();
        return new Report(named, restWork);
    }

    /**
     * The work that one instance, or several together, sent for owners.
     *
     * @param workByOwner the work of the largest owners by their names, not null
     * @param restWork the work of all other owners
     */
    public record Report(Map<String, Long> workByOwner, long restWork) {

        /** Copies the map. */
        public Report {
            workByOwner = Map.copyOf(workByOwner);
        }
    }
}
