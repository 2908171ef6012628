package org.dogwoodwinch.authority;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.ToIntFunction;
import org.dogwoodwinch.chart.ChartReader;
import org.dogwoodwinch.chart.StateChart;

/**
 * This instance's leases: renews those it holds, claims those that are over, and says which are live by its own clock.
 * Not thread-safe.
 *
 * <p>Why two instances never act at once: the holder counts the term from before it sent the renewal that it read back,
 * less a margin; a claimant counts from when it read that renewal, which is later, plus a margin. Neither looks at the
 * other's clock, and a claim that a renewal outran is void by log order.
 */
final class LeaseKeeper {

    private static final long NEVER = Long.MIN_VALUE / 2;

    private static final StateChart<LeaseState, LeaseEvent, LeaseAction> CHART =
            new ChartReader<>(LeaseState.class, LeaseEvent.class, LeaseAction.class).readResource("lease.json");
    private final String holder;
    private final LeasePolicy policy;
    private final RecordIds ids;
    private final Map<String, Watched> groups = new TreeMap<>();
    private final Map<String, Long> sentMillisById = new HashMap<>();
    private long liveSinceMillis = NEVER;
    private long renewedMillis = NEVER;

    /**
     * Creates a keeper that holds nothing.
     *
     * @param holder this process, by a name that no earlier process had: a restarted one has forgotten when it sent its
     *     renewals, not null
     * @param policy the times, not null
     * @param ids names the records, not null
     */
    LeaseKeeper(String holder, LeasePolicy policy, RecordIds ids) {
        this.holder = Objects.requireNonNull(holder, "holder");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.ids = Objects.requireNonNull(ids, "ids");
    }

    /**
     * Hears that one of this instance's own records was read back.
     *
     * @param table the leases after it, not null
     * @param offset its offset
     * @param recordId its id, not null
     */
    void onReadBack(LeaseTable table, long offset, String recordId) {
        Long sentMillis = sentMillisById.remove(recordId);
        if (sentMillis != null && table.lastRenewal(holder) == offset) {
            liveSinceMillis = Math.max(liveSinceMillis, sentMillis);
        }
    }

    /**
     * Looks at the leases and decides what to append.
     *
     * @param table the leases as far as they were read, not null
     * @param wanted the groups that there are, not null
     * @param rankOf this instance's place in the order of claims for a group, from zero, not null
     * @param logOut whether the log does not answer
     * @param nowMillis the monotonic time in milliseconds
     * @return the records, whose sending must follow at once
     */
    List<AuthorityRecord> decide(
            LeaseTable table, Collection<String> wanted, ToIntFunction<String> rankOf, boolean logOut, long nowMillis) {
        groups.keySet().retainAll(wanted);
        wanted.forEach(group -> observe(table, group, logOut, nowMillis));
        List<AuthorityRecord> records = new ArrayList<>();
        renewal(table, nowMillis).ifPresent(records::add);
        if (!logOut) {
            records.addAll(claims(table, rankOf, nowMillis));
        }
        records.forEach(record -> sentMillisById.put(record.id(), nowMillis));
        sentMillisById.values().removeIf(sent -> nowMillis - sent > policy.claimantMillis() * 2);
        return records;
    }

    /**
     * Returns for how long this instance may still act for a group.
     *
     * @param table the leases as far as they were read, not null
     * @param group the group, not null
     * @param nowMillis the monotonic time in milliseconds
     * @return milliseconds; zero or less where the group is not held or the lease is not live
     */
    long remainingMillis(LeaseTable table, String group, long nowMillis) {
        boolean held = table.lease(group)
                .filter(lease -> lease.holder().equals(holder))
                .isPresent();
        return held ? liveSinceMillis + policy.holderMillis() - nowMillis : 0;
    }

    /**
     * Gives all groups back, for a planned stop.
     *
     * @param table the leases as far as they were read, not null
     * @return the record to append, or empty where nothing is held
     */
    Optional<AuthorityRecord> release(LeaseTable table) {
        TreeMap<String, Long> epochs = new TreeMap<>();
        table.leases().forEach((group, lease) -> {
            if (lease.holder().equals(holder)) {
                epochs.put(group, lease.epoch());
            }
        });
        liveSinceMillis = NEVER;
        return epochs.isEmpty()
                ? Optional.empty()
                : Optional.of(new AuthorityRecord.LeaseRelease(ids.next(), holder, epochs));
    }

    private void observe(LeaseTable table, String group, boolean logOut, long nowMillis) {
        Watched watched = groups.computeIfAbsent(group, _group -> new Watched(CHART.initial()));
        Optional<GroupLease> lease = table.lease(group);
        String owner = lease.map(GroupLease::holder).orElse("");
        long renewal = table.lastRenewal(owner);
        if (!owner.equals(watched.owner) || renewal != watched.renewal || watched.state == LeaseState.UNSEEN) {
            watched.owner = owner;
            watched.renewal = renewal;
            LeaseEvent event = owner.isEmpty() ? LeaseEvent.FREE : LeaseEvent.OTHERS;
            fire(watched, owner.equals(holder) ? LeaseEvent.OURS : event, nowMillis);
        }
        if (logOut) {
            // Time without reading proves nothing: the holder may have renewed meanwhile. Counting it would make every
            // outage end in a change of all holders.
            fire(watched, LeaseEvent.LOG_OUT, nowMillis);
        }
    }

    private Optional<AuthorityRecord> renewal(LeaseTable table, long nowMillis) {
        if (table.lastRenewal(holder) == LeaseTable.NO_RENEWAL || nowMillis - renewedMillis < policy.renewMillis()) {
            return Optional.empty();
        }
        renewedMillis = nowMillis;
        return Optional.of(new AuthorityRecord.LeaseRenewal(ids.next(), holder));
    }

    private List<AuthorityRecord> claims(LeaseTable table, ToIntFunction<String> rankOf, long nowMillis) {
        Map<String, List<String>> groupsByOwner = new TreeMap<>();
        groups.forEach((group, watched) -> {
            if (isOver(watched, group, rankOf, nowMillis)) {
                fire(watched, LeaseEvent.LEASE_OVER, nowMillis);
            }
            if (watched.state == LeaseState.CLAIMING && nowMillis - watched.claimedMillis >= policy.renewMillis()) {
                watched.claimedMillis = nowMillis;
                groupsByOwner
                        .computeIfAbsent(watched.owner, _owner -> new ArrayList<>())
                        .add(group);
            }
        });
        List<AuthorityRecord> records = new ArrayList<>();
        groupsByOwner.forEach((owner, claimed) -> records.add(
                new AuthorityRecord.LeaseClaim(ids.next(), holder, owner, table.lastRenewal(owner), claimed)));
        return records;
    }

    /** The place in the order of claims is asked for last: it costs a hash for each instance, and mostly is not wanted. */
    private boolean isOver(Watched watched, String group, ToIntFunction<String> rankOf, long nowMillis) {
        if (watched.state != LeaseState.OPEN && watched.state != LeaseState.FOLLOWING) {
            return false;
        }
        long waitMillis = watched.owner.isEmpty() ? 0 : policy.claimantMillis();
        long waitedMillis = nowMillis - watched.countedFromMillis - waitMillis;
        return waitedMillis >= 0 && waitedMillis >= rankOf.applyAsInt(group) * policy.staggerMillis();
    }

    private void fire(Watched watched, LeaseEvent event, long nowMillis) {
        CHART.next(watched.state, event).ifPresent(step -> {
            watched.state = step.to();
            step.action().ifPresent(_action -> watched.countedFromMillis = nowMillis);
        });
    }

    /** One group as it was last seen. */
    private static final class Watched {

        private LeaseState state;
        private String owner = "";
        private long renewal = LeaseTable.NO_RENEWAL;
        private long countedFromMillis;
        private long claimedMillis = NEVER;

        Watched(LeaseState state) {
            this.state = state;
        }
    }
}
