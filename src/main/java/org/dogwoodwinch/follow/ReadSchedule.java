package org.dogwoodwinch.follow;

import java.util.Objects;
import java.util.function.IntSupplier;
import org.dogwoodwinch.time.TimeSource;

/**
 * Decides when an instance reads the platform itself, from its own contacts and from those of the reader that it relies
 * on. Confined to one thread.
 *
 * <p>An update of another reader counts for as long as that reader's contact with the platform is recent. After that the
 * instances take over one after the other, in the succession order.
 */
final class ReadSchedule {

    private final ReplicaPolicy policy;
    private final TimeSource time;
    private final IntSupplier ownRank;
    private long otherReaderFreshUntilMillis = Long.MIN_VALUE;
    private long lastContactMillis = StreamCoverage.UNKNOWN_MILLIS;
    private long nextReadMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a schedule without any contact.
     *
     * @param policy the time limits, not null
     * @param time the clock, not null
     * @param ownRank returns this instance's position in the succession order of its data centre, zero is the first,
     *     not null
     */
    ReadSchedule(ReplicaPolicy policy, TimeSource time, IntSupplier ownRank) {
        this.policy = Objects.requireNonNull(policy, "policy");
        this.time = Objects.requireNonNull(time, "time");
        this.ownRank = Objects.requireNonNull(ownRank, "ownRank");
    }

    /** Records that the platform answered this instance, at or after a moment. */
    void recordOwnContact(long asOfMillis) {
        lastContactMillis = Math.max(lastContactMillis, asOfMillis);
    }

    /** Records an update of a reader that precedes this instance in the succession order, by its contact's age. */
    void recordOtherReader(long contactAgeMillis) {
        long untilMillis = time.monotonicMillis() - contactAgeMillis + policy.maxAgeMillis();
        otherReaderFreshUntilMillis = Math.max(otherReaderFreshUntilMillis, untilMillis);
    }

    /** Forgets the updates of other readers. */
    void forgetOtherReader() {
        otherReaderFreshUntilMillis = Long.MIN_VALUE;
    }

    /** Begins the pause between two reads. */
    void beginPause() {
        nextReadMillis = time.monotonicMillis() + policy.readPauseMillis();
    }

    /** Lets the next read begin without a pause, since the platform holds further records. */
    void omitPause() {
        nextReadMillis = time.monotonicMillis();
    }

    /** Returns whether updates of another reader currently replace reads from the platform. */
    boolean isCoveredByOtherReader() {
        return time.monotonicMillis() < takeoverMillis();
    }

    private long takeoverMillis() {
        return otherReaderFreshUntilMillis == Long.MIN_VALUE
                ? Long.MIN_VALUE
                : otherReaderFreshUntilMillis + policy.takeoverDelayMillis(ownRank.getAsInt());
    }

    /** Returns whether the platform has answered this instance within the maximum age. */
    boolean hasRecentOwnContact() {
        return lastContactMillis > time.monotonicMillis() - policy.maxAgeMillis();
    }

    /**
     * Returns how long ago the platform last answered the reader that this instance relies on.
     *
     * @return milliseconds, at least zero; -1 before any answer
     */
    long ageMillis() {
        long nowMillis = time.monotonicMillis();
        long otherReaderContactMillis = otherReaderFreshUntilMillis == Long.MIN_VALUE
                ? StreamCoverage.UNKNOWN_MILLIS
                : otherReaderFreshUntilMillis - policy.maxAgeMillis();
        long lastAnyContactMillis = Math.max(lastContactMillis, otherReaderContactMillis);
        return lastAnyContactMillis == StreamCoverage.UNKNOWN_MILLIS
                ? -1
                : Math.max(0, nowMillis - lastAnyContactMillis);
    }

    /**
     * Returns how long the next read waits: until the pause since the last answer is over and, unless records are known to
     * be missing, no other reader is relied on.
     *
     * @param isBehind whether records are known to be missing
     * @return milliseconds; zero or less if the read is due
     */
    long remainingMillis(boolean isBehind) {
        long dueMillis = isBehind ? nextReadMillis : Math.max(nextReadMillis, takeoverMillis());
        return dueMillis - time.monotonicMillis();
    }

    /**
     * Returns how long the platform may hold a read: for so long that the contact is renewed in time for those who rely on
     * it, and not at all if this instance has had none for a while.
     *
     * @param maxWaitMillis the longest time that the follower allows
     * @return milliseconds, at least zero
     */
    long longPollMillis(long maxWaitMillis) {
        long renewalMillis = lastContactMillis + policy.longPollMillis() + policy.readPauseMillis();
        return Math.max(0, Math.min(maxWaitMillis, renewalMillis - time.monotonicMillis()));
    }
}
