package org.dogwoodwinch.relay;

import java.util.HashSet;
import java.util.Set;
import org.dogwoodwinch.forwarding.CallProgress;
import org.dogwoodwinch.forwarding.ServiceRoute;

/** The attempts made for one call, and what is known of each. Confined to one event loop. */
final class CallAttempts {

    /**
     * Maximum number of unreachable prefill targets per call, since each costs the time of a connection attempt. After
     * that, the target that runs the call also prefills its prompt.
     */
    private static final int MAX_UNSENT_PREFILLS = 2;

    private final Set<String> triedIds = new HashSet<>();
    private int runsCount;
    private int rejectionsCount;
    private int unsentCount;
    private boolean remotePrefillUsed;
    private boolean written;
    private boolean retryTaken;
    private boolean connectionsInUse;

    /** Returns the ids of the targets to which the call was sent or could not be sent. */
    Set<String> triedIds() {
        return triedIds;
    }

    /** Returns whether a target may have run the call. */
    boolean mayHaveRun() {
        return runsCount > 0;
    }

    /** Returns how often a target received the call. */
    int sendsCount() {
        return runsCount + rejectionsCount;
    }

    /** Returns whether another engine than the one that runs the call may prefill its prompt. */
    boolean mayPrefillRemotely() {
        return !remotePrefillUsed;
    }

    /** Returns whether anything of the call was written to a target, for a run or for a prefill. */
    boolean isWritten() {
        return written;
    }

    /**
     * Returns whether the next write to a target is accounted for: it is the first one, or a retry was taken for it.
     *
     * <p>Failure: a call that a target has rejected or prefilled is passed on, and the other instance sends it as a first
     * one. No retry budget limits such sends.
     */
    boolean mayBeWritten() {
        return !written || retryTaken;
    }

    /** Returns whether a target was not used because this instance uses all of its connections there. */
    boolean metConnectionsInUse() {
        return connectionsInUse;
    }

    /** Records that a retry was taken from the budget for the next write. */
    void recordRetryTaken() {
        retryTaken = true;
    }

    /**
     * Records that the call, or its prompt for a prefill, is written to a target.
     *
     * @return whether this is the first write
     */
    boolean recordWritten() {
        boolean first = !written;
        written = true;
        retryTaken = false;
        return first;
    }

    void recordRemotePrefill() {
        remotePrefillUsed = true;
    }

    void recordSent(String targetId) {
        triedIds.add(targetId);
    }

    /** Records that no byte reached a target. */
    void recordUnsent(String targetId, String reason) {
        unsentCount++;
        connectionsInUse |= reason.equals(TargetConnectionPool.CONNECTIONS_IN_USE);
        triedIds.add(targetId);
    }

    /** Records that no byte reached a target that was to prefill the prompt: another one may be tried. */
    void recordUnsentPrefill(String targetId, String reason) {
        recordUnsent(targetId, reason);
        remotePrefillUsed = unsentCount > MAX_UNSENT_PREFILLS;
    }

    /** Records that a target received the call and did not run it. */
    void recordNotRun() {
        rejectionsCount++;
    }

    /** Records that a target may have run the call. */
    void recordMayHaveRun() {
        runsCount++;
    }

    CallProgress toProgress(ServiceRoute route, long remainingMillis, long untilCapacityMillis) {
        return new CallProgress(
                route.isIdempotent(),
                runsCount,
                rejectionsCount,
                unsentCount,
                route.maxAttemptsCount(),
                remainingMillis,
                untilCapacityMillis);
    }
}
