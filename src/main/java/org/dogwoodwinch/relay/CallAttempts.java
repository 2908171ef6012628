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

    void recordRemotePrefill() {
        remotePrefillUsed = true;
    }

    void recordSent(String targetId) {
        triedIds.add(targetId);
    }

    /** Records that no byte reached a target. */
    void recordUnsent(String targetId) {
        unsentCount++;
        triedIds.add(targetId);
    }

    /** Records that no byte reached a target that was to prefill the prompt: another one may be tried. */
    void recordUnsentPrefill(String targetId) {
        recordUnsent(targetId);
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
