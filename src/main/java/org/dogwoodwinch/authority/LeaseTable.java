package org.dogwoodwinch.authority;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The leases, derived from the log. Not thread-safe.
 *
 * <p>The table uses no clock: holders and claimants measure the lease term themselves. Log order ensures that a
 * concurrent claim and renewal have the same winner on every instance.
 */
public final class LeaseTable {

    /** The last renewal of a process that holds no lease. */
    public static final long NO_RENEWAL = -1;

    private final SortedMap<String, GroupLease> leases;
    private final SortedMap<String, Long> lastRenewals;

    /**
     * Restores the table.
     *
     * @param leases the leases by group, not null
     * @param renewals the offset of the last renewal by holder, not null
     */
    public LeaseTable(Map<String, GroupLease> leases, Map<String, Long> renewals) {
        this.leases = new TreeMap<>(leases);
        this.lastRenewals = new TreeMap<>(renewals);
    }

    /**
     * Applies a renewal.
     *
     * @param offset the renewal's offset
     * @param renewal the renewal, not null
     * @return the reason for a rejection, or empty
     */
    Optional<String> apply(long offset, AuthorityRecord.LeaseRenewal renewal) {
        if (!lastRenewals.containsKey(renewal.holder())) {
            return Optional.of("the holder has no lease");
        }
        lastRenewals.put(renewal.holder(), offset);
        return Optional.empty();
    }

    /**
     * Applies a claim to each of its groups independently.
     *
     * @param offset the claim's offset
     * @param claim the claim, not null
     * @return the reason if the claim is rejected for all its groups, or empty
     */
    Optional<String> apply(long offset, AuthorityRecord.LeaseClaim claim) {
        boolean anyApplied = false;
        for (String group : claim.groups()) {
            if (isClaimable(claim, group)) {
                leases.put(group, new GroupLease(claim.holder(), offset));
                anyApplied = true;
            }
        }
        if (!anyApplied) {
            return Optional.of("the lease was renewed, or claimed by another holder, before");
        }
        lastRenewals.put(claim.holder(), offset);
        removeIdleHolders();
        return Optional.empty();
    }

    /**
     * Applies a release to each of its groups independently.
     *
     * @param release the release, not null
     * @return the reason if the release is rejected for all its groups, or empty
     */
    Optional<String> apply(AuthorityRecord.LeaseRelease release) {
        boolean anyApplied = false;
        for (Map.Entry<String, Long> entry : release.epochs().entrySet()) {
            anyApplied |= leases.remove(entry.getKey(), new GroupLease(release.holder(), entry.getValue()));
        }
        removeIdleHolders();
        return anyApplied ? Optional.empty() : Optional.of("no group is held in the epoch of the release");
    }

    /**
     * Returns the lease of a group.
     *
     * @param group the group, not null
     * @return the lease, or empty if the group has no holder
     */
    public Optional<GroupLease> lease(String group) {
        return Optional.ofNullable(leases.get(group));
    }

    /**
     * Returns whether a process holds a group in an epoch.
     *
     * @param group the group, not null
     * @param holder the holder, not null
     * @param epoch the epoch
     * @return whether it holds the group by log order
     */
    boolean isHeld(String group, String holder, long epoch) {
        return new GroupLease(holder, epoch).equals(leases.get(group));
    }

    /**
     * Returns the offset of a holder's last renewal or claim.
     *
     * @param holder the holder, not null
     * @return the offset, or {@link #NO_RENEWAL} if the process holds no lease
     */
    public long lastRenewal(String holder) {
        return lastRenewals.getOrDefault(holder, NO_RENEWAL);
    }

    /**
     * Returns all leases.
     *
     * @return an unmodifiable view of the leases, by group
     */
    public SortedMap<String, GroupLease> leases() {
        return Collections.unmodifiableSortedMap(leases);
    }

    /**
     * Returns the offsets of all holders' last renewals or claims.
     *
     * @return an unmodifiable view of the offsets, by holder
     */
    public SortedMap<String, Long> lastRenewals() {
        return Collections.unmodifiableSortedMap(lastRenewals);
    }

    private boolean isClaimable(AuthorityRecord.LeaseClaim claim, String group) {
        GroupLease lease = leases.get(group);
        if (lease == null) {
            return claim.previousHolder().isEmpty();
        }
        return lease.holder().equals(claim.previousHolder()) && lastRenewal(lease.holder()) == claim.previousRenewal();
    }

    private void removeIdleHolders() {
        lastRenewals
                .keySet()
                .removeIf(holder -> leases.values().stream()
                        .noneMatch(lease -> lease.holder().equals(holder)));
    }
}
