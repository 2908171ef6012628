package org.dogwoodwinch.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import org.dogwoodwinch.time.TimeSource;

/**
 * Registry of the requests that are suspected of crashing targets, of the trials in which suspects run alone, and of
 * the requests in quarantine.
 *
 * <p>Every request in flight on a target that crashes becomes a suspect, whether or not it caused the crash. Suspects
 * then run alone, in a trial. A suspect that completes is cleared. A suspect that crashes its target again, with no
 * other suspect on the same target, is the cause and is quarantined. A crash during a trial that two suspects shared is
 * not conclusive, and both remain suspects. Thread-safe.
 */
public final class SuspectRegistry implements Quarantine {

    private static final int MAX_SUSPECTS = 10_000;
    private static final long MAX_TRIAL_MILLIS = 60_000;

    private final TimeSource time;
    private final long suspicionMillis;
    private final long quarantineMillis;
    private final Consumer<SuspicionNotice> noticePublisher;
    private final Map<Long, Suspect> suspects = new LinkedHashMap<>();
    private final Map<Long, Long> liftedAtMillis = new LinkedHashMap<>();
    private final Map<TrialKey, Trial> ownTrials = new HashMap<>();
    private final Map<Long, Trial> peerTrials = new HashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param time the clock, not null
     * @param suspicionMillis how long a request remains a suspect, in milliseconds
     * @param quarantineMillis how long a request remains in quarantine, in milliseconds
     * @param noticePublisher sends notices to the other instances, not null; called under this object's lock, so it
     *     must not call back
     */
    public SuspectRegistry(
            TimeSource time, long suspicionMillis, long quarantineMillis, Consumer<SuspicionNotice> noticePublisher) {
        this.time = Objects.requireNonNull(time, "time");
        this.suspicionMillis = suspicionMillis;
        this.quarantineMillis = quarantineMillis;
        this.noticePublisher = Objects.requireNonNull(noticePublisher, "noticePublisher");
    }

    @Override
    public synchronized Status statusOf(long fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null || suspect.untilMillis() <= time.monotonicMillis()) {
            suspects.remove(fingerprint);
            return Status.CLEAR;
        }
        if (suspect.quarantined()) {
            return Status.QUARANTINED;
        }
        return suspect.crashes() > 1 ? Status.REPEATED_SUSPECT : Status.SUSPECT;
    }

    @Override
    public synchronized Set<String> trialTargets() {
        long nowMillis = time.monotonicMillis();
        ownTrials.values().removeIf(trial -> trial.untilMillis() <= nowMillis);
        peerTrials.values().removeIf(trial -> trial.untilMillis() <= nowMillis);
        Set<String> targets = new HashSet<>();
        ownTrials.values().forEach(trial -> targets.add(trial.target()));
        peerTrials.values().forEach(trial -> targets.add(trial.target()));
        return targets;
    }

    @Override
    public synchronized void onTrialStarted(long fingerprint, String attemptId, String target) {
        ownTrials.put(
                new TrialKey(attemptId, target),
                new Trial(fingerprint, target, time.monotonicMillis() + MAX_TRIAL_MILLIS));
        noticePublisher.accept(new SuspicionNotice(SuspicionNotice.Kind.TRIAL, fingerprint, target, MAX_TRIAL_MILLIS));
    }

    @Override
    public synchronized void onCrash(long fingerprint, String attemptId, String target) {
        Trial trial = ownTrials.remove(new TrialKey(attemptId, target));
        // What proved the cause stays proved: a later crash without a trial of its own proves less and ends nothing.
        boolean quarantined =
                statusOf(fingerprint) == Status.QUARANTINED || (trial != null && !ranBesideOtherSuspect(trial));
        Suspect previous = suspects.get(fingerprint);
        int crashes = previous == null ? 1 : previous.crashes() + 1;
        long durationMillis = quarantined ? quarantineMillis : suspicionMillis;
        put(fingerprint, new Suspect(crashes, quarantined, time.monotonicMillis() + durationMillis));
        SuspicionNotice.Kind kind = quarantined ? SuspicionNotice.Kind.QUARANTINED : SuspicionNotice.Kind.SUSPECT;
        noticePublisher.accept(new SuspicionNotice(kind, fingerprint, target, durationMillis));
        publishTrialEnd(trial);
    }

    @Override
    public synchronized void onAttemptEnded(long fingerprint, String attemptId, boolean completed) {
        endTrials(attemptId);
        Suspect suspect = suspects.get(fingerprint);
        if (completed && suspect != null && !suspect.quarantined()) {
            suspects.remove(fingerprint);
            noticePublisher.accept(new SuspicionNotice(SuspicionNotice.Kind.CLEARED, fingerprint, "", suspicionMillis));
        }
    }

    /**
     * Applies a notice from another instance.
     *
     * @param notice the notice, not null
     * @param ageMillis the age of the notice, in milliseconds
     */
    public synchronized void onPeerNotice(SuspicionNotice notice, long ageMillis) {
        long sentMillis = time.monotonicMillis() - ageMillis;
        long untilMillis = sentMillis + notice.remainingMillis();
        long fingerprint = notice.fingerprint();
        switch (notice.kind()) {
            case SUSPECT -> applyPeerSuspicion(fingerprint, sentMillis, untilMillis, false);
            case QUARANTINED -> applyPeerSuspicion(fingerprint, sentMillis, untilMillis, true);
            case TRIAL -> peerTrials.put(fingerprint, new Trial(fingerprint, notice.target(), untilMillis));
            case TRIAL_ENDED -> peerTrials.remove(fingerprint);
            case CLEARED -> {
                if (statusOf(fingerprint) != Status.QUARANTINED) {
                    suspects.remove(fingerprint);
                }
            }
            case LIFTED -> {
                suspects.remove(fingerprint);
                recordLift(fingerprint, sentMillis);
            }
        }
    }

    /**
     * Lists the requests in quarantine.
     *
     * @return the list, least recently updated first
     */
    public synchronized List<QuarantinedRequest> listQuarantined() {
        long nowMillis = time.monotonicMillis();
        return suspects.entrySet().stream()
                .filter(each -> each.getValue().quarantined() && each.getValue().untilMillis() > nowMillis)
                .map(each -> new QuarantinedRequest(
                        formatFingerprint(each.getKey()),
                        each.getValue().crashes(),
                        each.getValue().untilMillis() - nowMillis))
                .toList();
    }

    /**
     * Lifts a quarantine on this instance and notifies the other instances, which lift it too.
     *
     * @param fingerprint the request's fingerprint
     * @return false if the request was not in quarantine on this instance
     */
    public synchronized boolean lift(long fingerprint) {
        boolean wasQuarantined = statusOf(fingerprint) == Status.QUARANTINED;
        suspects.remove(fingerprint);
        recordLift(fingerprint, time.monotonicMillis());
        noticePublisher.accept(new SuspicionNotice(SuspicionNotice.Kind.LIFTED, fingerprint, "", quarantineMillis));
        return wasQuarantined;
    }

    /**
     * Formats a fingerprint for operators.
     *
     * @param fingerprint the fingerprint
     * @return sixteen hexadecimal digits
     */
    public static String formatFingerprint(long fingerprint) {
        return String.format(Locale.ROOT, "%016x", fingerprint);
    }

    /** Records a peer's suspicion, unless an operator lifted the quarantine after the peer sent the notice. */
    private void applyPeerSuspicion(long fingerprint, long sentMillis, long untilMillis, boolean quarantined) {
        Long lifted = liftedAtMillis.get(fingerprint);
        if (lifted != null && sentMillis <= lifted) {
            return;
        }
        Suspect previous = suspects.get(fingerprint);
        if (previous != null && previous.quarantined() && !quarantined) {
            return;
        }
        int crashes = previous == null ? 1 : previous.crashes() + 1;
        put(fingerprint, new Suspect(crashes, quarantined, untilMillis));
    }

    private boolean ranBesideOtherSuspect(Trial trial) {
        long nowMillis = time.monotonicMillis();
        return ownTrials.values().stream().anyMatch(other -> isOtherOnSameTarget(trial, other, nowMillis))
                || peerTrials.values().stream().anyMatch(other -> isOtherOnSameTarget(trial, other, nowMillis));
    }

    private static boolean isOtherOnSameTarget(Trial trial, Trial other, long nowMillis) {
        return other.target().equals(trial.target())
                && other.fingerprint() != trial.fingerprint()
                && other.untilMillis() > nowMillis;
    }

    /** Ends the trials of an attempt, of which there are several if it was sent again after it lost a target. */
    private void endTrials(String attemptId) {
        List<TrialKey> keys = ownTrials.keySet().stream()
                .filter(key -> key.attemptId().equals(attemptId))
                .toList();
        keys.forEach(key -> publishTrialEnd(ownTrials.remove(key)));
    }

    private void publishTrialEnd(Trial trial) {
        if (trial != null) {
            noticePublisher.accept(
                    new SuspicionNotice(SuspicionNotice.Kind.TRIAL_ENDED, trial.fingerprint(), trial.target(), 0));
        }
    }

    private void put(long fingerprint, Suspect suspect) {
        suspects.remove(fingerprint);
        suspects.put(fingerprint, suspect);
        if (suspects.size() > MAX_SUSPECTS) {
            suspects.remove(suspects.keySet().iterator().next());
        }
    }

    private void recordLift(long fingerprint, long atMillis) {
        liftedAtMillis.put(fingerprint, atMillis);
        if (liftedAtMillis.size() > MAX_SUSPECTS) {
            liftedAtMillis.remove(liftedAtMillis.keySet().iterator().next());
        }
    }

    private record Suspect(int crashes, boolean quarantined, long untilMillis) {}

    private record TrialKey(String attemptId, String target) {}

    private record Trial(long fingerprint, String target, long untilMillis) {}
}
