package org.dogwoodwinch.daemon;

import org.dogwoodwinch.follow.FollowerPolicy;
import org.dogwoodwinch.follow.ReplicaPolicy;
import org.dogwoodwinch.forwarding.RemovalHold;
import org.dogwoodwinch.settings.ForwardingSettings;

/** Derives from the settings how often an instance reads the streams of the platform's store. */
final class StorePolling {

    /** Covers the delay of a read from a slow platform and that of an update between busy instances. */
    private static final long REPLICA_AGE_MARGIN_MILLIS = 400;

    /**
     * The round trip of a read, so that the update of one successor arrives before the next successor starts to read.
     */
    private static final long TAKEOVER_STAGGER_MILLIS = 75;

    private static final int MAX_TAKEOVER_STAGGERS = 3;

    private static final long FIRST_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 500;

    /**
     * Part of the promised drain time for which the entries of targets may be older than at the shortest pause. The rest
     * of the time is for an instance that takes over reading.
     */
    private static final int PAUSES_PER_DRAIN = 10;

    /** Within which, as the platform states, the entries of sound targets are back after the store's return. */
    private static final long ENTRY_RENEWAL_MILLIS = 2_000;

    /** The part of a promised time by which it is kept; the rest is for the way of a call. */
    private static final int USABLE_TENTHS = 9;

    private static final int TENTHS = 10;

    /** A replicated stream pauses by itself before it reads the store. */
    private static final long NO_PAUSE_MILLIS = 0;

    private final ForwardingSettings settings;

    /**
     * Creates the intervals.
     *
     * @param settings the settings, not null
     */
    StorePolling(ForwardingSettings settings) {
        this.settings = settings;
    }

    /** Returns the intervals for a replicated stream of the store. */
    FollowerPolicy follower() {
        return new FollowerPolicy(
                settings.store().waitMillis(), NO_PAUSE_MILLIS, FIRST_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
    }

    /** Returns the time limits for relying on another reader of a stream that rarely changes. */
    ReplicaPolicy replica() {
        return replica(settings.store().pauseMillis());
    }

    /**
     * Returns the time limits for relying on another reader of the entries of targets.
     *
     * <p>Load: in a large fleet there is always a new entry, and a reader reads again after each pause. With a short pause
     * these reads are most of the calls to the store.
     */
    ReplicaPolicy targetsReplica() {
        return replica(targetsPauseMillis());
    }

    /** Returns how long the removal of a target around an outage of the store is held back. */
    RemovalHold removalHold() {
        return new RemovalHold(
                settings.promises().drainMillis() * USABLE_TENTHS / TENTHS,
                ENTRY_RENEWAL_MILLIS + targetsPauseMillis() + REPLICA_AGE_MARGIN_MILLIS);
    }

    private long targetsPauseMillis() {
        return Math.max(settings.store().pauseMillis(), settings.promises().drainMillis() / PAUSES_PER_DRAIN);
    }

    /**
     * The maximum age plus the longest takeover delay and one read stay below nine tenths of the time limits that
     * operators are promised.
     */
    private ReplicaPolicy replica(long pauseMillis) {
        long maxReadMillis = settings.store().waitMillis() + pauseMillis;
        return new ReplicaPolicy(
                maxReadMillis + REPLICA_AGE_MARGIN_MILLIS, TAKEOVER_STAGGER_MILLIS, MAX_TAKEOVER_STAGGERS, pauseMillis);
    }
}
