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
 * Manages the leases of this instance: renews the leases that it holds, claims those that have expired, and computes by
 * its own monotonic clock how long each lease remains valid. Not thread-safe.
 *
 * <p>Two instances never act for a group at once: the holder measures the term, less a margin, from the time at which
 * it sent the renewal that it has read back; a claimant measures the term, plus a margin, from the time at which it
 * read that renewal, which is later. Neither uses the other's clock, and a claim that follows an unread renewal in the
 * log is rejected.
 */
final class LeaseManager {

    private static final long NEVER = Long.MIN_VALUE / 2;

    private static final StateChart<LeaseState, LeaseEvent, LeaseAction> CHART =
            new ChartReader<>(LeaseState.class, LeaseEvent.class, LeaseAction.class).readResource("lease.json");
    private final String holder;
    private final LeasePolicy policy;
    private final RecordIdGenerator ids;
    private final Map<String, TrackedGroup> trackedGroups = new TreeMap<>();
    private final Map<String, Long> sentMillisById = new HashMap<>();
    private long confirmedRenewalSentMillis = NEVER;
    private long lastRenewalSentMillis = NEVER;

    /**
     * Creates a manager that holds no lease.
     *
     * @param holder the name of this process, which no earlier process may have used, because a restarted process does
     *     not know when its predecessor sent renewals, not null
     * @param policy the lease timings, not null
     * @param ids creates the ids of new records, not null
     */
    LeaseManager(String holder, LeasePolicy policy, RecordIdGenerator ids) {
        this.holder = Objects.requireNonNull(holder, "holder");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.ids = Objects.requireNonNull(ids, "ids");
    }

    /**
     * Handles a record that was read from the log. Records that this instance did not send are ignored.
     *
     * @param table the leases after the record, not null
     * @param offset the record's offset
     * @param recordId the record's id, not null
     */
    void onReadBack(LeaseTable table, long offset, String recordId) {
        Long sentMillis = sentMillisById.remove(recordId);
        if (sentMillis != null && table.lastRenewal(holder) == offset) {
            confirmedRenewalSentMillis = Math.max(confirmedRenewalSentMillis, sentMillis);
        }
    }

    /**
     * Decides which lease records to append.
     *
     * @param table the leases derived from the log records read so far, not null
     * @param listedGroups the groups of all listed engines, not null
     * @param claimRank returns this instance's rank in the order of claims for a group, from zero, not null
     * @param logUnavailable whether the log is unavailable
     * @param nowMillis the monotonic time in milliseconds
     * @return the records, to be sent without delay
     */
    List<AuthorityRecord> decide(
            LeaseTable table,
            Collection<String> listedGroups,
            ToIntFunction<String> claimRank,
            boolean logUnavailable,
            long nowMillis) {
        trackedGroups.keySet().retainAll(listedGroups);
        listedGroups.forEach(group -> observe(table, group, logUnavailable, nowMillis));
        List<AuthorityRecord> records = new ArrayList<>();
        newRenewalIfDue(table, nowMillis).ifPresent(records::add);
        if (!logUnavailable) {
            records.addAll(newClaimsIfDue(table, claimRank, nowMillis));
        }
        records.forEach(record -> sentMillisById.put(record.id(), nowMillis));
        sentMillisById.values().removeIf(sent -> nowMillis - sent > policy.claimantWaitMillis() * 2);
        return records;
    }

    /**
     * Returns how long this instance may still act for a group.
     *
     * @param table the leases derived from the log records read so far, not null
     * @param group the group, not null
     * @param nowMillis the monotonic time in milliseconds
     * @return the remaining time in milliseconds; zero or less if the group is not held or the lease has expired
     */
    long remainingMillis(LeaseTable table, String group, long nowMillis) {
        boolean held = table.lease(group)
                .filter(lease -> lease.holder().equals(holder))
                .isPresent();
        return held ? confirmedRenewalSentMillis + policy.holderValidityMillis() - nowMillis : 0;
    }

    /**
     * Releases all held groups before a planned stop.
     *
     * @param table the leases derived from the log records read so far, not null
     * @return the record to append, or empty if no group is held
     */
    Optional<AuthorityRecord> release(LeaseTable table) {
        TreeMap<String, Long> epochs = new TreeMap<>();
        table.leases().forEach((group, lease) -> {
            if (lease.holder().equals(holder)) {
                epochs.put(group, lease.epoch());
            }
        });
        confirmedRenewalSentMillis = NEVER;
        return epochs.isEmpty()
                ? Optional.empty()
                : Optional.of(new AuthorityRecord.LeaseRelease(ids.next(), holder, epochs));
    }

    private void observe(LeaseTable table, String group, boolean logUnavailable, long nowMillis) {
        TrackedGroup tracked = trackedGroups.computeIfAbsent(group, _group -> new TrackedGroup(CHART.initial()));
        Optional<GroupLease> lease = table.lease(group);
        String currentHolder = lease.map(GroupLease::holder).orElse("");
        long lastRenewal = table.lastRenewal(currentHolder);
        if (!currentHolder.equals(tracked.holder)
                || lastRenewal != tracked.lastRenewal
                || tracked.state == LeaseState.UNSEEN) {
            tracked.holder = currentHolder;
            tracked.lastRenewal = lastRenewal;
            LeaseEvent event = currentHolder.isEmpty() ? LeaseEvent.FREE : LeaseEvent.OTHERS;
            applyEvent(tracked, currentHolder.equals(holder) ? LeaseEvent.OURS : event, nowMillis);
        }
        if (logUnavailable) {
            // The holder may have renewed while the log could not be read. Counting that time as part of the wait would
            // make all groups change their holder after every log outage.
            applyEvent(tracked, LeaseEvent.LOG_OUT, nowMillis);
        }
    }

    private Optional<AuthorityRecord> newRenewalIfDue(LeaseTable table, long nowMillis) {
        if (table.lastRenewal(holder) == LeaseTable.NO_RENEWAL
                || nowMillis - lastRenewalSentMillis < policy.renewMillis()) {
            return Optional.empty();
        }
        lastRenewalSentMillis = nowMillis;
        return Optional.of(new AuthorityRecord.LeaseRenewal(ids.next(), holder));
    }

    private List<AuthorityRecord> newClaimsIfDue(LeaseTable table, ToIntFunction<String> claimRank, long nowMillis) {
        Map<String, List<String>> groupsByHolder = new TreeMap<>();
        trackedGroups.forEach((group, tracked) -> {
            if (isClaimDue(tracked, group, claimRank, nowMillis)) {
                applyEvent(tracked, LeaseEvent.LEASE_OVER, nowMillis);
            }
            if (tracked.state == LeaseState.CLAIMING && nowMillis - tracked.lastClaimMillis >= policy.renewMillis()) {
                tracked.lastClaimMillis = nowMillis;
                groupsByHolder
                        .computeIfAbsent(tracked.holder, _holder -> new ArrayList<>())
                        .add(group);
            }
        });
        List<AuthorityRecord> records = new ArrayList<>();
        groupsByHolder.forEach((currentHolder, claimedGroups) -> records.add(new AuthorityRecord.LeaseClaim(
                ids.next(), holder, currentHolder, table.lastRenewal(currentHolder), claimedGroups)));
        return records;
    }

    /** Computes the claim rank last, because it costs a hash for each instance and is rarely needed. */
    private boolean isClaimDue(TrackedGroup tracked, String group, ToIntFunction<String> claimRank, long nowMillis) {
        if (tracked.state != LeaseState.OPEN && tracked.state != LeaseState.FOLLOWING) {
            return false;
        }
        long requiredWaitMillis = tracked.holder.isEmpty() ? 0 : policy.claimantWaitMillis();
        long waitedMillis = nowMillis - tracked.waitStartMillis - requiredWaitMillis;
        return waitedMillis >= 0 && waitedMillis >= claimRank.applyAsInt(group) * policy.claimStaggerMillis();
    }

    private void applyEvent(TrackedGroup tracked, LeaseEvent event, long nowMillis) {
        CHART.next(tracked.state, event).ifPresent(step -> {
            tracked.state = step.to();
            step.action().ifPresent(_action -> tracked.waitStartMillis = nowMillis);
        });
    }

    /** The last observed lease of one group. */
    private static final class TrackedGroup {

        private LeaseState state;
        private String holder = "";
        private long lastRenewal = LeaseTable.NO_RENEWAL;
        private long waitStartMillis;
        private long lastClaimMillis = NEVER;

        TrackedGroup(LeaseState state) {
            this.state = state;
        }
    }
}
