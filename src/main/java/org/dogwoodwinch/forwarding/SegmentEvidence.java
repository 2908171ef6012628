package org.dogwoodwinch.forwarding;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What one instance knows of a prompt segment that was in flight during a crash: the crashes, when answers with it last
 * began, and the trials. Times are monotonic milliseconds of this instance.
 */
final class SegmentEvidence {

    /** Stands for a time that has not come. */
    static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    /** A begin longer ago says little about a segment. Crashes are forgotten after the same time. */
    static final long MEMORY_MILLIS = 600_000;

    /** A segment that is held back is forgotten a day after the last crash. */
    static final long HELD_MEMORY_MILLIS = 86_400_000;

    /** Crashes after which a segment is held back that no answer is known to have begun with. */
    private static final int CRASHES_WITHOUT_BEGIN = 3;

    /**
     * The same for a segment that answers began with before. It is rare among the calls, or has become harmful; while
     * another segment is found to be the cause, its share of the crashes must not hold it back.
     */
    private static final int CRASHES_AFTER_BEGIN = 6;

    /** The pauses before the trials. After the last one, a segment is held back until it is forgotten or lifted. */
    private static final long[] TRIAL_PAUSES_MILLIS = {5_000, 60_000, 600_000};

    private static final int MAX_CRASHES_PER_SEGMENT = 16;

    private final Map<String, Long> crashMillisByStart = new LinkedHashMap<>();
    private long lastBeginMillis;
    private long lastToldBeginMillis = NEVER_MILLIS;
    private boolean begunAtPeer;
    private boolean blamedHere;
    private int trialsCount;
    private long lastTrialMillis = NEVER_MILLIS;

    /**
     * Creates evidence without crashes.
     *
     * @param lastBeginMillis when an answer with the segment last began; {@link #NEVER_MILLIS} if none is known
     */
    SegmentEvidence(long lastBeginMillis) {
        this.lastBeginMillis = lastBeginMillis;
    }

    void recordCrash(String targetStart, long atMillis) {
        crashMillisByStart.merge(targetStart, atMillis, Math::min);
        if (crashMillisByStart.size() > MAX_CRASHES_PER_SEGMENT) {
            crashMillisByStart.remove(crashMillisByStart.keySet().iterator().next());
        }
    }

    /** A begin after the last crash shows that the segment is sound, so trials start from the first one again. */
    void recordBegin(long atMillis) {
        lastBeginMillis = Math.max(lastBeginMillis, atMillis);
        if (unclearedCount() == 0) {
            trialsCount = 0;
            lastTrialMillis = NEVER_MILLIS;
        }
    }

    /** Records a begin that another instance told of, so that all have heard of it. */
    void recordPeerBegin(long atMillis) {
        lastToldBeginMillis = Math.max(lastToldBeginMillis, atMillis);
        recordBegin(atMillis);
    }

    /** Records that the other instances are told of the last begin. */
    void recordTold() {
        lastToldBeginMillis = lastBeginMillis;
    }

    /** Records whether an instance that reported a crash knew of a begin. */
    void recordBegunAtPeer(boolean hasBegunThere) {
        begunAtPeer |= hasBegunThere;
    }

    /** Records that this instance has blamed the segment for a crash. */
    void recordBlamedHere() {
        blamedHere = true;
    }

    /** Records a trial; one that is not newer than the last known changes nothing. */
    void recordTrial(int trialNumber, long atMillis) {
        if (trialNumber > trialsCount) {
            trialsCount = trialNumber;
            lastTrialMillis = atMillis;
        }
    }

    boolean isBlamedHere() {
        return blamedHere;
    }

    int trialsCount() {
        return trialsCount;
    }

    long lastBeginMillis() {
        return lastBeginMillis;
    }

    /** Returns whether this instance knows of a begin and no other one does. */
    boolean isBeginKnownHereOnly() {
        return !begunAtPeer && lastToldBeginMillis == NEVER_MILLIS && lastBeginMillis != NEVER_MILLIS;
    }

    /** Returns the crashes after the last begin that all instances have heard of. */
    int untoldCrashesCount() {
        return countAfter(lastToldBeginMillis);
    }

    boolean hasBegun() {
        return begunAtPeer || lastBeginMillis != NEVER_MILLIS;
    }

    int unclearedCount() {
        return countAfter(lastBeginMillis);
    }

    private int countAfter(long millis) {
        int count = 0;
        for (long crashMillis : crashMillisByStart.values()) {
            count += crashMillis > millis ? 1 : 0;
        }
        return count;
    }

    boolean isHeld() {
        return unclearedCount() >= (hasBegun() ? CRASHES_AFTER_BEGIN : CRASHES_WITHOUT_BEGIN);
    }

    long lastCrashMillis() {
        return crashMillisByStart.values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(NEVER_MILLIS);
    }

    long trialDueMillis(long minPauseMillis) {
        long lastCrashMillis = lastCrashMillis();
        return trialsCount < TRIAL_PAUSES_MILLIS.length
                ? Math.max(
                        lastCrashMillis + minPauseMillis,
                        Math.max(lastCrashMillis, lastTrialMillis) + TRIAL_PAUSES_MILLIS[trialsCount])
                : lastCrashMillis + HELD_MEMORY_MILLIS;
    }

    /** Returns whether calls with the segment are held back now, except for trials. */
    boolean isHeldAt(long nowMillis) {
        return isHeld() && nowMillis - lastCrashMillis() < HELD_MEMORY_MILLIS;
    }

    /** Returns whether the last crash is so long ago that the evidence is forgotten. */
    boolean isOutdated(long nowMillis) {
        return nowMillis - lastCrashMillis() >= (isHeld() ? HELD_MEMORY_MILLIS : MEMORY_MILLIS);
    }
}
