package org.dogwoodwinch.forwarding;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * Which targets this instance leaves alone for a while, as they could not be reached of late. Not thread-safe.
 *
 * <p>Failure: a target that crashed stays listed for some seconds. Every call whose prompt has its home there tries it
 * first, and is then read by an engine that it keeps from generating; its caller sees a late first event. Left out after
 * the first failure, and tried again after a pause that doubles, it costs one call a pause. A judgement that is wrong
 * for many targets at once, as when this instance's own links are cut, must not empty a service: of its targets no more
 * than half are left out.
 *
 * <p>Failure: a target opens connections and breaks off each call. None is under way there for long, so it looks like the
 * target with the least to do, and the more calls it breaks off the more it gets; its callers see failures within
 * milliseconds while sound targets have room. That it opens connections is therefore no sign of health.
 *
 * <p>Failure: half of a service's targets lose a part of their answers. Left alone for each call that they break off, they
 * leave their work to the others, and more callers are late than had failed. An answer of a moment ago says that a target
 * breaks off a part of its calls alone; several broken off in a row say otherwise.
 */
public final class TargetHealth {

    /** Less than a target needs to come back, and enough that one in some ten calls tries it. */
    private static final long FIRST_EJECTION_MILLIS = 500;

    /** A target that is gone leaves the list within some seconds; one that came back waits no longer than this. */
    private static final long MAX_EJECTION_MILLIS = 4_000;

    /** A target that answered this instance so long ago breaks off a part of its calls at the most. */
    private static final long RECENT_ANSWER_MILLIS = 2_000;

    /** Unless so many are broken off without an answer between them. */
    private static final int CONSECUTIVE_BROKEN_LIMIT = 3;

    /** What one instance finds out serves all, so that a probe a second costs the fleet one call. */
    private static final long MAX_SHARED_EJECTION_MILLIS = 1_000;

    private final LongSupplier clockMillis;
    private final Map<String, Ejection> ejections = new HashMap<>();
    private final Map<String, Long> stageChangeUntilMillis = new HashMap<>();
    private final Map<String, CallHistory> callHistories = new HashMap<>();

    /**
     * Creates a judgement that knows nothing.
     *
     * @param clockMillis monotonic milliseconds, not null
     */
    public TargetHealth(LongSupplier clockMillis) {
        this.clockMillis = Objects.requireNonNull(clockMillis, "clockMillis");
    }

    /**
     * No connection could be opened, or another target answered at the address.
     *
     * @param targetId the target's id, not null
     * @return the pause until it is tried again, in milliseconds
     */
    public long unreachable(String targetId) {
        return eject(targetId, MAX_EJECTION_MILLIS, false);
    }

    /**
     * A new connection was broken off before an answer; the other instances are told of it where it is left alone.
     *
     * @param targetId the target's id, not null
     * @return the pause until it is tried again, in milliseconds; zero where it goes on being used
     */
    public long brokeOff(String targetId) {
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
     * Another instance found that a target cannot be used.
     *
     * @param targetId the target's id, not null
     * @param peerEjectionMillis the pause of the instance that found it; a pause of this one's own goes on from there
     * @param ejectionMillis the pause here, none where it is not positive
     */
    public void told(String targetId, long peerEjectionMillis, long ejectionMillis) {
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
     * Says whether a target is left out now as one that cannot be used.
     *
     * @param targetId the target's id, not null
     * @return whether its pause goes on
     */
    public boolean isPaused(String targetId) {
        return isEjectedAt(targetId, clockMillis.getAsLong());
    }

    /**
     * A target changes its stage and takes nothing meanwhile: what has not started there is rejected.
     *
     * @param targetId the target's id, not null
     * @param maxMillis how long it is left out, unless it is back earlier
     */
    public void away(String targetId, long maxMillis) {
        stageChangeUntilMillis.put(targetId, clockMillis.getAsLong() + maxMillis);
    }

    /**
     * A target is back from a change of its stage.
     *
     * @param targetId the target's id, not null
     */
    public void back(String targetId) {
        stageChangeUntilMillis.remove(targetId);
    }

    /**
     * Says whether a target changes its stage.
     *
     * @param targetId the target's id, not null
     * @return whether it is left out for that
     */
    public boolean isAway(String targetId) {
        Long untilMillis = stageChangeUntilMillis.get(targetId);
        return untilMillis != null && clockMillis.getAsLong() < untilMillis;
    }

    /**
     * The target answered a call, in whatever way. That it can be reached ends a pause for want of a connection at once; one
     * for a call that was broken off goes on, as the answer is to a call from before it, and the next begins anew.
     *
     * @param targetId the target's id, not null
     */
    public void answered(String targetId) {
        CallHistory history = callHistories.computeIfAbsent(targetId, _id -> new CallHistory());
        history.lastAnswerMillis = clockMillis.getAsLong();
        history.consecutiveBroken = 0;
        Ejection ejection = ejections.get(targetId);
        if (ejection != null && !(ejection.afterBrokenConnection && isEjectedAt(targetId, clockMillis.getAsLong()))) {
            ejections.remove(targetId);
        }
    }

    /**
     * Another instance had an answer of the target after a pause.
     *
     * @param targetId the target's id, not null
     */
    public void toldSound(String targetId) {
        ejections.remove(targetId);
    }

    /**
     * A target is listed no more.
     *
     * @param targetId the target's id, not null
     */
    public void forget(String targetId) {
        ejections.remove(targetId);
        stageChangeUntilMillis.remove(targetId);
        callHistories.remove(targetId);
    }

    /**
     * Leaves out what cannot be reached.
     *
     * @param targets the targets of one service, not null
     * @return those that may be tried; all of them where more than half would be left out
     */
    public List<Incarnation> usable(List<Incarnation> targets) {
        if (ejections.isEmpty() && stageChangeUntilMillis.isEmpty()) {
            return targets;
        }
        long nowMillis = clockMillis.getAsLong();
        List<Incarnation> usable = targets.stream()
                .filter(target -> !isEjectedAt(target.id(), nowMillis) && !isAway(target.id()))
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

    /** What calls of this instance told of a target. */
    private static final class CallHistory {
        private long lastAnswerMillis = Long.MIN_VALUE;
        private int consecutiveBroken;
    }

    private record Ejection(long lengthMillis, long untilMillis, boolean afterBrokenConnection) {}
}
