package org.dogwoodwinch.daemon;

import java.util.function.LongSupplier;
import org.dogwoodwinch.follow.FollowerPolicy;
import org.dogwoodwinch.follow.ReplicaPolicy;
import org.dogwoodwinch.forwarding.RemovalHold;
import org.dogwoodwinch.relay.TargetEntriesAge;
import org.dogwoodwinch.settings.ForwardingSettings;
import org.dogwoodwinch.settings.StoreReadBudget;

/** Derives from the settings how often an instance reads the streams of the platform's store. */
final class StorePolling {

    private static final long FIRST_BACKOFF_MILLIS = 50;
    private static final long MAX_BACKOFF_MILLIS = 500;

    /** Within which, as the platform states, the entries of sound targets are back after the store's return. */
    private static final long ENTRY_RENEWAL_MILLIS = 2_000;

    /** A replicated stream pauses by itself before it reads the store. */
    private static final long NO_PAUSE_MILLIS = 0;

    private final ForwardingSettings settings;
    private final StoreReadBudget targets;
    private final StoreReadBudget configuration;

    /**
     * Creates the intervals.
     *
     * @param settings the settings, not null
     */
    StorePolling(ForwardingSettings settings) {
        this.settings = settings;
        this.targets = StoreReadBudget.ofTargets(settings.promises(), settings.store());
        this.configuration = StoreReadBudget.ofConfiguration(settings.promises(), settings.store());
    }

    /** Returns the intervals for a replicated stream of the store. */
    FollowerPolicy follower() {
        return new FollowerPolicy(
                settings.store().waitMillis(), NO_PAUSE_MILLIS, FIRST_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
    }

    /** Returns the time limits for relying on another reader of the configuration. */
    ReplicaPolicy configurationReplica() {
        return replica(configuration);
    }

    /** Returns the time limits for relying on another reader of the entries of targets. */
    ReplicaPolicy targetsReplica() {
        return replica(targets);
    }

    /** Returns how long the removal of a target around an outage of the store is held back. */
    RemovalHold removalHold() {
        return new RemovalHold(
                targets.usableMillis(),
                ENTRY_RENEWAL_MILLIS + targets.pauseMillis() + StoreReadBudget.UPDATE_MARGIN_MILLIS);
    }

    /** Returns the age of the entries of targets, beside the age from which a call on them may come too late. */
    TargetEntriesAge targetEntriesAge(LongSupplier ageMillis) {
        return new TargetEntriesAge(ageMillis, targets.promisedMillis(), targets.usableMillis());
    }

    private static ReplicaPolicy replica(StoreReadBudget budget) {
        return new ReplicaPolicy(
                budget.maxAgeMillis(),
                StoreReadBudget.TAKEOVER_STAGGER_MILLIS,
                StoreReadBudget.MAX_TAKEOVER_STAGGERS,
                budget.waitMillis(),
                budget.pauseMillis(),
                budget.secondReadAfterMillis());
    }
}
