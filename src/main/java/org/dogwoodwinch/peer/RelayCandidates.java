package org.dogwoodwinch.peer;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The instances of which a relay has reported that they send messages, and those whose process has stated that it
 * stops. Not thread-safe.
 *
 * <p>Failure: instances that stop or are down keep their position in the succession order, since the list of members
 * may be old. Each of them delays the succession, and one that stops becomes the relay for the rest of its process.
 */
final class RelayCandidates {

    private final Map<String, Leave> leaves = new HashMap<>();
    private final Map<String, Long> reportedMillis = new HashMap<>();

    /** Records that a relay received messages from some instances; those that stop are ignored. */
    void onReport(Collection<String> names, long nowMillis) {
        for (String name : names) {
            if (!isLeaving(name)) {
                reportedMillis.put(name, nowMillis);
            }
        }
    }

    /**
     * Records that a process of an instance stops.
     *
     * @param name the instance's name, not null
     * @param startedMillis when that process started, in its wall-clock milliseconds
     * @param nowMillis the current time
     * @return whether that was unknown
     */
    boolean onLeave(String name, long startedMillis, long nowMillis) {
        reportedMillis.remove(name);
        Leave known = leaves.get(name);
        long sinceMillis = known != null && known.startedMillis == startedMillis ? known.sinceMillis : nowMillis;
        leaves.put(name, new Leave(startedMillis, sinceMillis, nowMillis));
        return known == null;
    }

    /**
     * Records that a process of an instance sent a message.
     *
     * @param name the instance's name, not null
     * @param startedMillis when that process started, in its wall-clock milliseconds
     * @return whether it follows one that stopped
     */
    boolean onMessage(String name, long startedMillis) {
        Leave known = leaves.get(name);
        return known != null && startedMillis > known.startedMillis && leaves.remove(name, known);
    }

    /**
     * Discards what has not been repeated since a time: a process that stops repeats its statement until it ends.
     *
     * @param oldestLeaveMillis the time from which statements count
     * @param oldestReportMillis the time from which reports count
     * @return whether a process no longer counts as stopping
     */
    boolean expire(long oldestLeaveMillis, long oldestReportMillis) {
        reportedMillis.values().removeIf(atMillis -> atMillis <= oldestReportMillis);
        return leaves.values().removeIf(leave -> leave.repeatedMillis <= oldestLeaveMillis);
    }

    boolean isLeaving(String name) {
        return leaves.containsKey(name);
    }

    boolean isReported(String name) {
        return reportedMillis.containsKey(name);
    }

    /** Returns when an instance first stated that its process stops; empty if it has not. */
    OptionalLong leavingSinceMillis(String name) {
        Leave leave = leaves.get(name);
        return leave == null ? OptionalLong.empty() : OptionalLong.of(leave.sinceMillis);
    }

    private record Leave(long startedMillis, long sinceMillis, long repeatedMillis) {}
}
