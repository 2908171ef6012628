package org.dogwoodwinch.settings;

import org.dogwoodwinch.settings.ForwardingSettings.PromiseSettings;
import org.dogwoodwinch.settings.ForwardingSettings.StoreSettings;

/**
 * Divides a time that is promised from an acknowledgement of the store among all that lies between it and the moment at
 * which every instance knows: relying on the reader of the data centre, waiting for a turn to take over from it, one answer
 * of the store that is lost, and the answer to a second read. A tenth is left for the way of a call.
 *
 * @param promisedMillis the time that is promised from the acknowledgement
 * @param waitMillis how long the store may hold a read while there is nothing new
 * @param pauseMillis the pause between two reads
 */
public record StoreReadBudget(long promisedMillis, long waitMillis, long pauseMillis) {

    /** Covers the time of an update between busy instances. */
    public static final long UPDATE_MARGIN_MILLIS = 400;

    /** The round trip of a read, so that the update of one successor arrives before the next successor starts to read. */
    public static final long TAKEOVER_STAGGER_MILLIS = 75;

    /** The number of successors after which all others take over at the same time. */
    public static final int MAX_TAKEOVER_STAGGERS = 3;

    /** The time of an answer of a slow store. */
    private static final long ANSWER_MILLIS = 100;

    /** A second read that is sent sooner would go out beside most answers of a slow store. */
    private static final long MIN_SECOND_READ_MILLIS = 100;

    private static final int USABLE_TENTHS = 9;
    private static final int TENTHS = 10;

    /** The part of the promised drain time that the pause between two reads of the targets' entries takes. */
    private static final int PAUSES_PER_DRAIN = 10;

    /**
     * Returns the budget of the entries of targets.
     *
     * <p>Load: in a large fleet there is always a new entry, and a reader reads again after each pause. With the shortest
     * pause these reads are most of the calls to the store.
     *
     * @param promises the promised times, not null
     * @param store the intervals of reads, not null
     * @return the budget of the drain time
     */
    public static StoreReadBudget ofTargets(PromiseSettings promises, StoreSettings store) {
        long pauseMillis = Math.max(store.pauseMillis(), promises.drainMillis() / PAUSES_PER_DRAIN);
        return new StoreReadBudget(promises.drainMillis(), store.waitMillis(), pauseMillis);
    }

    /**
     * Returns the budget of the configuration, which rarely changes.
     *
     * @param promises the promised times, not null
     * @param store the intervals of reads, not null
     * @return the budget of the time within which a configuration is in force
     */
    public static StoreReadBudget ofConfiguration(PromiseSettings promises, StoreSettings store) {
        return new StoreReadBudget(promises.configurationMillis(), store.waitMillis(), store.pauseMillis());
    }

    /**
     * Returns the time by which every instance has to know.
     *
     * @return the promised time without what is left for the way of a call
     */
    public long usableMillis() {
        return promisedMillis * USABLE_TENTHS / TENTHS;
    }

    /**
     * Returns the age of a reader's last contact with the store up to which its updates replace reads of others.
     *
     * @return the time between two contacts of a reader, and that of an update
     */
    public long maxAgeMillis() {
        return waitMillis + pauseMillis + UPDATE_MARGIN_MILLIS;
    }

    /**
     * Returns after which time without an answer, beside the time that the store was asked to wait, a read is sent again.
     *
     * @return what the other parts leave; negative if they exceed the budget
     */
    public long secondReadAfterMillis() {
        long takeoverMillis = maxAgeMillis() + TAKEOVER_STAGGER_MILLIS * MAX_TAKEOVER_STAGGERS;
        return usableMillis() - takeoverMillis - ANSWER_MILLIS;
    }

    /**
     * Returns the shortest time that can be promised with these reads.
     *
     * @return the least promise for which all parts add up below the usable time
     */
    public long leastPromisedMillis() {
        long missingMillis = MIN_SECOND_READ_MILLIS - secondReadAfterMillis();
        return ((usableMillis() + missingMillis) * TENTHS + USABLE_TENTHS - 1) / USABLE_TENTHS;
    }

    /**
     * Returns whether the parts add up to less than what is promised.
     *
     * @return whether the promised time can be kept if one answer of the store is lost
     */
    public boolean isKept() {
        return secondReadAfterMillis() >= MIN_SECOND_READ_MILLIS;
    }
}
