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
 * not conclusive, and both remain suspects.
 *
 * <p>Failure: a request ends target after target, and no crash is conclusive, since other suspects run beside it or the
 * crash is found after the trial. A request in flight on three targets that crashed is therefore quarantined without
 * proof, for a shorter time: it may be harmless. After that it is tried alone. Thread-safe.
 */
public final class SuspectRegistry implements Quarantine {

    private static final int MAX_SUSPECTS = 10_000;
    private static final long MAX_TRIAL_MILLIS = 60_000;

    /** The number of crashed targets after which a request is quarantined without proof that it is the cause. */
    private static final int MAX_ENDED_TARGETS = 3;

    /** The duration of a quarantine without proof: one more crash a minute at most, and a short wait if harmless. */
    private static final long UNPROVED_QUARANTINE_MILLIS = 60_000;

    private static final long NEVER_MILLIS = Long.MIN_VALUE;

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
        long nowMillis = time.monotonicMillis();
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null || suspect.untilMillis() <= nowMillis) {
            suspects.remove(fingerprint);
            return Status.CLEAR;
        }
        if (suspect.isQuarantinedAt(nowMillis)) {
            return Status.QUARANTINED;
        }
        return suspect.crashesCount() > 1 ? Status.REPEATED_SUSPECT : Status.SUSPECT;
    }

    @Override
    public synchronized long quarantineRemainingMillis(long fingerprint) {
        return statusOf(fingerprint) == Status.QUARANTINED
                ? suspects.get(fingerprint).quarantinedUntilMillis() - time.monotonicMillis()
                : 0;
    }

    @Override
    public synchronized Set<String> trialTargets() {
        long nowMillis = time.monotonicMillis();
        ownTrials.values().removeIf(trial -> trial.untilMillis() <= nowMillis);
        peerTrials.values().removeIf(trial -> trial.untilMillis() <= nowMillis);
        Set<String> targets = new HashSet<>();
        ownTrials.values().forEach(trial -> targets.add(TargetStart.targetIdOf(trial.target())));
        peerTrials.values().forEach(trial -> targets.add(TargetStart.targetIdOf(trial.target())));
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
        boolean conclusive = trial != null && !ranBesideOtherSuspect(trial);
        long nowMillis = time.monotonicMillis();
        Suspect suspect = recordCrash(
                fingerprint,
                target,
                conclusive ? nowMillis + quarantineMillis : NEVER_MILLIS,
                nowMillis + suspicionMillis);
        publishStatus(fingerprint, target, suspect);
        publishTrialEnd(trial);
    }

    /**
     * Records a crash under a request. What was proved stays proved: a crash that proves less ends no quarantine.
     *
     * @param provedUntilMillis the end of the quarantine if the crash proves the cause, otherwise {@link #NEVER_MILLIS}
     */
    private Suspect recordCrash(long fingerprint, String target, long provedUntilMillis, long untilMillis) {
        long nowMillis = time.monotonicMillis();
        // Removes a suspicion that has expired, whose crashes no longer count.
        statusOf(fingerprint);
        Suspect previous = suspects.getOrDefault(fingerprint, Suspect.NONE);
        Set<String> endedTargets = new HashSet<>(previous.endedTargets());
        boolean isNewCrash = endedTargets.add(target);
        boolean isCounted = isNewCrash && endedTargets.size() >= MAX_ENDED_TARGETS;
        long quarantinedUntilMillis = Math.max(
                Math.max(previous.quarantinedUntilMillis(), provedUntilMillis),
                isCounted ? nowMillis + UNPROVED_QUARANTINE_MILLIS : NEVER_MILLIS);
        Suspect suspect = new Suspect(
                Set.copyOf(endedTargets),
                quarantinedUntilMillis,
                Math.max(Math.max(previous.untilMillis(), untilMillis), quarantinedUntilMillis));
        put(fingerprint, suspect);
        return suspect;
    }

    private void publishStatus(long fingerprint, String target, Suspect suspect) {
        long nowMillis = time.monotonicMillis();
        SuspicionNotice notice = suspect.isQuarantinedAt(nowMillis)
                ? new SuspicionNotice(
                        SuspicionNotice.Kind.QUARANTINED,
                        fingerprint,
                        target,
                        suspect.quarantinedUntilMillis() - nowMillis)
                : new SuspicionNotice(SuspicionNotice.Kind.SUSPECT, fingerprint, target, suspicionMillis);
        noticePublisher.accept(notice);
    }

    @Override
    public synchronized void onAttemptEnded(long fingerprint, String attemptId, boolean completed) {
        endTrials(attemptId);
        Suspect suspect = suspects.get(fingerprint);
        if (completed && suspect != null && !suspect.isQuarantinedAt(time.monotonicMillis())) {
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
            case SUSPECT -> applyPeerSuspicion(notice, sentMillis, NEVER_MILLIS, untilMillis);
            case QUARANTINED ->
                applyPeerSuspicion(
                        notice, sentMillis, untilMillis, Math.max(untilMillis, sentMillis + suspicionMillis));
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
                .filter(each -> each.getValue().isQuarantinedAt(nowMillis))
                .map(each -> new QuarantinedRequest(
                        formatFingerprint(each.getKey()),
                        each.getValue().crashesCount(),
                        each.getValue().quarantinedUntilMillis() - nowMillis))
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
    private void applyPeerSuspicion(SuspicionNotice notice, long sentMillis, long provedUntilMillis, long untilMillis) {
        long fingerprint = notice.fingerprint();
        Long lifted = liftedAtMillis.get(fingerprint);
        if (lifted != null && sentMillis <= lifted) {
            return;
        }
        boolean wasQuarantined = statusOf(fingerprint) == Status.QUARANTINED;
        Suspect suspect = recordCrash(fingerprint, notice.target(), provedUntilMillis, untilMillis);
        boolean isQuarantined = suspect.isQuarantinedAt(time.monotonicMillis());
        if (notice.kind() == SuspicionNotice.Kind.SUSPECT && isQuarantined && !wasQuarantined) {
            // Only an instance that heard of all crashes can count them; one that starts later hears of the last alone.
            publishStatus(fingerprint, notice.target(), suspect);
        }
    }

    private boolean ranBesideOtherSuspect(Trial trial) {
        long nowMillis = time.monotonicMillis();
        return ownTrials.values().stream().anyMatch(other -> isOtherOnSameTarget(trial, other, nowMillis))
                || peerTrials.values().stream().anyMatch(other -> isOtherOnSameTarget(trial, other, nowMillis));
    }

    private static boolean isOtherOnSameTarget(Trial trial, Trial other, long nowMillis) {
        return TargetStart.targetIdOf(other.target()).equals(TargetStart.targetIdOf(trial.target()))
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

    private record Suspect(Set<String> endedTargets, long quarantinedUntilMillis, long untilMillis) {

        static final Suspect NONE = new Suspect(Set.of(), NEVER_MILLIS, NEVER_MILLIS);

        int crashesCount() {
            return endedTargets.size();
        }

        boolean isQuarantinedAt(long nowMillis) {
            return quarantinedUntilMillis > nowMillis;
        }
    }

    private record TrialKey(String attemptId, String target) {}

    private record Trial(long fingerprint, String target, long untilMillis) {}
}
