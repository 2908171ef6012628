package org.dogwoodwinch.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.IntSupplier;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Decides whether this instance is cut off from all targets, while callers and other instances may still reach it. Not
 * thread-safe.
 *
 * <p>Failure: the links between an instance and all targets fail. Its connections hang or are reset, or live on while
 * new ones are refused. Every target seems to be broken, and each call is refused or waits until its deadline, though
 * the other instances reach all targets.
 *
 * <p>Calls only raise the suspicion: several targets fail one after the other, or several calls wait while no target
 * sends anything. A rack that crashed, a service that is down and engines that compute for long look the same, so
 * connections to other targets decide. None is opened while nothing is suspected. If this instance's own link is slow, a
 * target that does not answer in time proves nothing, and the probes are repeated until the link is free or a target
 * answers.
 */
public final class TargetIsolation {

    /** How long a failure counts; callers of a quiet instance arrive about once a second. */
    private static final long FAILURE_MEMORY_MILLIS = 3_000;

    /** Two targets that fail at once are rare enough to spend a connection on. */
    private static final int SUSPICIOUS_FAILURES = 2;

    private static final int SUSPICIOUS_WAITING_TARGETS = 2;

    /** Longer than a busy fleet takes to the next event of any stream, and than a short pause of one engine. */
    private static final long SUSPICIOUS_SILENCE_MILLIS = 600;

    /** The number of targets without an answer that make up a cut, or all targets if there are fewer. */
    private static final int MIN_FAILED_TARGETS = 4;

    /** When several targets crash at once, both probes of a round may meet crashed ones. */
    private static final int MIN_FAILED_ROUNDS = 2;

    private static final int PROBED_TARGETS = 2;
    private static final long PROBE_INTERVAL_MILLIS = 500;

    /** After a probe that was answered, since engines that compute for long keep a quiet instance suspicious. */
    private static final long PROBE_PAUSE_MILLIS = 2_000;

    private final IntSupplier targetsCount;
    private final UniformRandomProvider random;
    private final Map<String, Long> failedAtMillis = new HashMap<>();
    private final Map<String, Integer> waitingCalls = new HashMap<>();
    private long silentSinceMillis;
    private long nextProbeMillis = Long.MIN_VALUE;
    private int failedRoundsCount;
    private boolean probing;
    private boolean isolated;

    /** Whether the own link was slow during the last round of probes, and no target answered. */
    private boolean undecided;

    /** What a round of probes changed. */
    public enum Change {
        /** Nothing. */
        NONE,
        /** This instance is cut off from now on. */
        BEGAN,
        /** This instance reaches targets again. */
        ENDED
    }

    /**
     * Creates an instance that reaches all targets.
     *
     * @param targetsCount supplies the number of targets that are listed, evaluated on each use, not null
     * @param random chooses the targets to probe, not null
     */
    public TargetIsolation(IntSupplier targetsCount, UniformRandomProvider random) {
        this.targetsCount = Objects.requireNonNull(targetsCount, "targetsCount");
        this.random = Objects.requireNonNull(random, "random");
    }

    /**
     * Returns whether this instance is cut off from all targets.
     *
     * @return true from when enough targets and rounds of probes have failed until all probes of a round are answered,
     *     or one of them on a slow link
     */
    public boolean isIsolated() {
        return isolated;
    }

    /**
     * Returns whether connections to targets fail, though only because this instance's own link is slow.
     *
     * @return true from when no probe of a round was answered on a slow link until the next round
     */
    public boolean isUndecided() {
        return undecided;
    }

    /**
     * Returns the number of different targets that failed recently without a sign of life since.
     *
     * @param nowMillis monotonic milliseconds
     * @return the number
     */
    public int failedTargetsCount(long nowMillis) {
        failedAtMillis.values().removeIf(atMillis -> nowMillis - atMillis > FAILURE_MEMORY_MILLIS);
        return failedAtMillis.size();
    }

    /**
     * Returns how long no target has sent anything while calls wait.
     *
     * @param nowMillis monotonic milliseconds
     * @return the time in milliseconds; zero while no call waits
     */
    public long silentMillis(long nowMillis) {
        return waitingCalls.isEmpty() ? 0 : nowMillis - silentSinceMillis;
    }

    /**
     * Returns whether calls wait at several targets and none has sent anything for longer than a busy fleet takes.
     *
     * @param nowMillis monotonic milliseconds
     * @return whether the silence itself raises a suspicion
     */
    public boolean isSilent(long nowMillis) {
        return waitingCalls.size() >= SUSPICIOUS_WAITING_TARGETS
                && silentMillis(nowMillis) >= SUSPICIOUS_SILENCE_MILLIS;
    }

    /**
     * Records that a target refused a connection, did not answer an attempt to connect, or lost a connection with a
     * call under way.
     *
     * @param targetId the target's id, not null
     * @param nowMillis monotonic milliseconds
     */
    public void recordFailure(String targetId, long nowMillis) {
        failedAtMillis.put(targetId, nowMillis);
    }

    /**
     * Records that a connection to a target was opened for a call.
     *
     * @param targetId the target's id, not null
     */
    public void recordConnected(String targetId) {
        failedAtMillis.remove(targetId);
    }

    /**
     * Records that bytes of any target arrived. They end no failure: connections may live on while new ones are
     * refused.
     *
     * @param nowMillis monotonic milliseconds
     */
    public void recordHeard(long nowMillis) {
        silentSinceMillis = nowMillis;
    }

    /**
     * Records that a call was sent to a target.
     *
     * @param targetId the target's id, not null
     * @param nowMillis monotonic milliseconds
     */
    public void recordSent(String targetId, long nowMillis) {
        if (waitingCalls.isEmpty()) {
            silentSinceMillis = nowMillis;
        }
        waitingCalls.merge(targetId, 1, Integer::sum);
    }

    /**
     * Records that a call at a target ended in any way.
     *
     * @param targetId the target's id, not null
     */
    public void recordEnded(String targetId) {
        waitingCalls.computeIfPresent(targetId, (_id, count) -> count > 1 ? count - 1 : null);
    }

    /**
     * Returns whether a round of probes is due. The caller starts it and reports the result with
     * {@link #recordProbes}.
     *
     * @param nowMillis monotonic milliseconds
     * @return true while this instance is cut off, suspects it or cannot tell, at intervals
     */
    public boolean isProbeDue(long nowMillis) {
        return !probing && nowMillis >= nextProbeMillis && (isolated || undecided || isSuspicious(nowMillis));
    }

    private boolean isSuspicious(long nowMillis) {
        return isSilent(nowMillis) || failedTargetsCount(nowMillis) >= SUSPICIOUS_FAILURES;
    }

    /**
     * Chooses the targets to probe: different ones, of different data centres if possible, and first those that have
     * not failed, since these can show that only some targets are down.
     *
     * @param targets the listed targets, not null
     * @param nowMillis monotonic milliseconds
     * @return the targets; empty if none is listed
     */
    public List<Incarnation> startProbes(List<Incarnation> targets, long nowMillis) {
        probing = true;
        failedTargetsCount(nowMillis);
        List<Incarnation> remaining = new ArrayList<>(targets);
        List<Incarnation> chosen = new ArrayList<>();
        Set<String> dataCentres = new HashSet<>();
        while (chosen.size() < PROBED_TARGETS && !remaining.isEmpty()) {
            Incarnation next = best(remaining, dataCentres);
            chosen.add(next);
            dataCentres.add(next.dataCentre());
            remaining.remove(next);
        }
        return chosen;
    }

    private Incarnation best(List<Incarnation> targets, Set<String> dataCentres) {
        int offset = random.nextInt(targets.size());
        Incarnation best = null;
        int bestRank = Integer.MAX_VALUE;
        for (int i = 0; i < targets.size(); i++) {
            Incarnation target = targets.get((offset + i) % targets.size());
            int rank = (failedAtMillis.containsKey(target.id()) ? 2 : 0)
                    + (dataCentres.contains(target.dataCentre()) ? 1 : 0);
            if (rank < bestRank) {
                best = target;
                bestRank = rank;
            }
        }
        return best;
    }

    /**
     * Records the result of a round of probes.
     *
     * @param answered the targets to which a connection was opened, not null
     * @param failed the other targets that were probed, not null
     * @param delay the delay of this instance's own link during the round, not null
     * @param nowMillis monotonic milliseconds
     * @return what it changed
     */
    public Change recordProbes(Set<String> answered, Set<String> failed, LinkDelay delay, long nowMillis) {
        probing = false;
        undecided = false;
        answered.forEach(failedAtMillis::remove);
        failed.forEach(id -> failedAtMillis.put(id, nowMillis));
        if (isolated) {
            return recordProbesWhileIsolated(answered, failed, delay, nowMillis);
        }
        if (!answered.isEmpty() || failed.isEmpty()) {
            failedRoundsCount = 0;
            failedAtMillis.clear();
            silentSinceMillis = nowMillis;
            nextProbeMillis = nowMillis + PROBE_PAUSE_MILLIS;
            return Change.NONE;
        }
        if (delay.isSlow()) {
            undecided = true;
            failed.forEach(failedAtMillis::remove);
            nextProbeMillis = nowMillis + PROBE_INTERVAL_MILLIS;
            return Change.NONE;
        }
        failedRoundsCount++;
        nextProbeMillis = nowMillis + PROBE_INTERVAL_MILLIS / 2;
        isolated = haveAllFailed(nowMillis);
        return isolated ? Change.BEGAN : Change.NONE;
    }

    private boolean haveAllFailed(long nowMillis) {
        int failedCount = failedTargetsCount(nowMillis);
        return failedCount >= targetsCount.getAsInt()
                || (failedRoundsCount >= MIN_FAILED_ROUNDS && failedCount >= MIN_FAILED_TARGETS);
    }

    private Change recordProbesWhileIsolated(
            Set<String> answered, Set<String> failed, LinkDelay delay, long nowMillis) {
        nextProbeMillis = nowMillis + PROBE_INTERVAL_MILLIS;
        // On a slow link, some probes fail without a cut, and the calls that are passed on keep the link slow.
        if (answered.isEmpty() || (!failed.isEmpty() && !delay.isSlow())) {
            return Change.NONE;
        }
        isolated = false;
        failedRoundsCount = 0;
        failedAtMillis.clear();
        silentSinceMillis = nowMillis;
        return Change.ENDED;
    }
}
