package org.dogwoodwinch.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Ejects targets that failed recently for a limited time, during which this instance sends them no calls. Not
 * thread-safe.
 *
 * <p>Failure: a crashed target stays listed for some seconds. Every call whose affinity engine it is tries it first
 * and is then prefilled by a decode engine, which delays the streams there and the call's own first event. A target
 * that is ejected at the first failure, and tried again after an ejection time that doubles, costs one call per
 * ejection. If many targets seem to fail at once, for example because this instance's own links are cut, a service
 * must keep usable targets: at most half of its targets are ejected.
 *
 * <p>Failure: a target accepts connections and breaks each call. Its calls end quickly, so it looks like the target
 * with the lowest load, and the more calls it breaks the more it receives; callers see failures within milliseconds
 * while healthy targets have capacity. An accepted connection is therefore no sign of health.
 *
 * <p>Failure: half of a service's targets lose a part of their answers. If each broken call ejected its target, these
 * targets would leave their work to the others, and more callers would be late than had failed. A recent answer shows
 * that a target breaks only a part of its calls; several broken calls in a row show the opposite.
 */
public final class TargetHealth {

    /** Shorter than a target needs to restart, and long enough that only about one in ten calls tries it. */
    private static final long FIRST_EJECTION_MILLIS = 500;

    /**
     * A crashed target is removed from the registry within some seconds; a restarted target waits no longer than
     * this.
     */
    private static final long MAX_EJECTION_MILLIS = 4_000;

    /** A target that answered this instance within this time is assumed to break only a part of its calls. */
    private static final long RECENT_ANSWER_MILLIS = 2_000;

    /**
     * Number of broken calls without an answer between them after which a target is ejected in spite of a recent
     * answer.
     */
    private static final int CONSECUTIVE_BROKEN_LIMIT = 3;

    /** All instances share what one of them finds, so a probe per second costs all instances together one call. */
    private static final long MAX_SHARED_EJECTION_MILLIS = 1_000;

    private final LongSupplier clockMillis;
    private final Map<String, Ejection> ejections = new HashMap<>();
    private final Map<String, Long> stageChangeUntilMillis = new HashMap<>();
    private final Map<String, CallHistory> callHistories = new HashMap<>();

    /**
     * Creates an instance without ejected targets.
     *
     * @param clockMillis monotonic milliseconds, not null
     */
    public TargetHealth(LongSupplier clockMillis) {
        this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis");
    }

    /**
     * Records that no connection could be opened, or that another target answered at the address.
     *
     * @param targetId the target's id, not null
     * @return the time until the target is tried again, in milliseconds
     */
    public long recordUnreachable(String targetId) {
        return eject(targetId, MAX_EJECTION_MILLIS, false);
    }

    /**
     * Records that a new connection was broken before an answer. If this ejects the target, the other instances are
     * informed.
     *
     * @param targetId the target's id, not null
     * @return the time until the target is tried again, in milliseconds; zero if it is not ejected
     */
    public long recordBrokenConnection(String targetId) {
        CallHistory history = callHistories.computeIfAbsent(targetId, _id -> new CallHistory());
        history.consecutiveBroken++;
        if (history.consecutiveBroken < CONSECUTIVE_BROKEN_LIMIT && answeredRecently(targetId)) {
            return 0;
        }
        return eject(targetId, MAX_SHARED_EJECTION_MILLIS, true);
    }

    private long eject(String targetId, long maxMillis, boolean afterBrokenConnection) {
        long nowMillis = clockMillis.getAsLong();
        Ejection ejection = ejections.get(targetId);
        if (ejection != null && nowMillis < ejection.untilMillis) {
            return ejection.untilMillis - nowMillis;
        }
        long lengthMillis = ejection == null ? FIRST_EJECTION_MILLIS : Math.min(maxMillis, 2 * ejection.lengthMillis);
        ejections.put(targetId, new Ejection(lengthMillis, nowMillis + lengthMillis, afterBrokenConnection));
        return lengthMillis;
    }

    /**
     * Records that another instance ejected a target.
     *
     * @param targetId the target's id, not null
     * @param peerEjectionMillis the ejection time of the other instance, which later ejections by this instance
     *     double
     * @param ejectionMillis the ejection time here; if it is not positive, the target is not ejected
     */
    public void recordPeerEjection(String targetId, long peerEjectionMillis, long ejectionMillis) {
        long untilMillis = clockMillis.getAsLong() + ejectionMillis;
        Ejection ejection = ejections.get(targetId);
        if (ejectionMillis > 0
                && !answeredRecently(targetId)
                && (ejection == null || ejection.untilMillis < untilMillis)) {
            ejections.put(
                    targetId,
                    new Ejection(Math.min(MAX_SHARED_EJECTION_MILLIS, peerEjectionMillis), untilMillis, true));
        }
    }

    /**
     * Returns whether a target is ejected now because it failed.
     *
     * @param targetId the target's id, not null
     * @return whether its ejection time has not yet passed
     */
    public boolean isEjected(String targetId) {
        return isEjectedAt(targetId, clockMillis.getAsLong());
    }

    /**
     * Records that a target changes its stage and accepts no calls meanwhile: it rejects what it has not started.
     *
     * @param targetId the target's id, not null
     * @param maxMillis the time for which it is left out, unless it is available earlier
     */
    public void startStageChange(String targetId, long maxMillis) {
        stageChangeUntilMillis.put(targetId, clockMillis.getAsLong() + maxMillis);
    }

    /**
     * Records that a target has completed the change of its stage.
     *
     * @param targetId the target's id, not null
     */
    public void endStageChange(String targetId) {
        stageChangeUntilMillis.remove(targetId);
    }

    /**
     * Returns whether a target is changing its stage.
     *
     * @param targetId the target's id, not null
     * @return whether it is left out for this reason
     */
    public boolean isChangingStage(String targetId) {
        Long untilMillis = stageChangeUntilMillis.get(targetId);
        return untilMillis != null && clockMillis.getAsLong() < untilMillis;
    }

    /**
     * Records that the target answered a call, with any result. This ends an ejection for a failed connection at
     * once, as it shows that the target can be reached. An ejection for a broken call continues, because the answer
     * belongs to a call sent before it; if its time has passed, the answer clears it, and the next ejection starts
     * with the first ejection time.
     *
     * @param targetId the target's id, not null
     */
    public void recordAnswer(String targetId) {
        CallHistory history = callHistories.computeIfAbsent(targetId, _id -> new CallHistory());
        history.lastAnswerMillis = clockMillis.getAsLong();
        history.consecutiveBroken = 0;
        Ejection ejection = ejections.get(targetId);
        if (ejection != null && !(ejection.afterBrokenConnection && isEjectedAt(targetId, clockMillis.getAsLong()))) {
            ejections.remove(targetId);
        }
    }

    /**
     * Records that another instance received an answer of the target after an ejection.
     *
     * @param targetId the target's id, not null
     */
    public void recordPeerRecovery(String targetId) {
        ejections.remove(targetId);
    }

    /**
     * Ends all ejections, because the failures had a cause in this instance's own links. Stage changes continue.
     */
    public void endEjections() {
        ejections.clear();
        callHistories.values().forEach(history -> history.consecutiveBroken = 0);
    }

    /**
     * Removes a target that is no longer listed.
     *
     * @param targetId the target's id, not null
     */
    public void remove(String targetId) {
        ejections.remove(targetId);
        stageChangeUntilMillis.remove(targetId);
        callHistories.remove(targetId);
    }

    /**
     * Leaves out the targets that are ejected or changing their stage.
     *
     * @param targets the targets of one service, not null
     * @return the targets that may be tried; all of them if more than half would be left out
     */
    public List<Incarnation> filterUsable(List<Incarnation> targets) {
        if (ejections.isEmpty() && stageChangeUntilMillis.isEmpty()) {
            return targets;
        }
        long nowMillis = clockMillis.getAsLong();
        List<Incarnation> usable = targets.stream()
                .filter(target -> !isEjectedAt(target.id(), nowMillis) && !isChangingStage(target.id()))
                .toList();
        return 2 * usable.size() < targets.size() ? targets : usable;
    }

    private boolean isEjectedAt(String targetId, long nowMillis) {
        Ejection ejection = ejections.get(targetId);
        return ejection != null && nowMillis < ejection.untilMillis;
    }

    private boolean answeredRecently(String targetId) {
        CallHistory history = callHistories.get(targetId);
        return history != null
                && history.lastAnswerMillis != Long.MIN_VALUE
                && clockMillis.getAsLong() - history.lastAnswerMillis < RECENT_ANSWER_MILLIS;
    }

    /** The results of this instance's calls to a target. */
    private static final class CallHistory {
        private long lastAnswerMillis = Long.MIN_VALUE;
        private int consecutiveBroken;
    }

    private record Ejection(long lengthMillis, long untilMillis, boolean afterBrokenConnection) {}
}
