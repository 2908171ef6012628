package org.dogwoodwinch.authority;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The leases as the log makes them. Not thread-safe.
 *
 * <p>It knows no clock: that a term is over is for claimants to wait out and for holders to count. What log order adds
 * is that a claim and a renewal that race have one winner on every instance.
 */
public final class LeaseTable {

    /** The renewal of a holder that has none. */
    public static final long NO_RENEWAL = -1;

    private final SortedMap<String, GroupLease> leases;
    private final SortedMap<String, Long> lastRenewals;

    /**
     * Creates the table as it was left.
     *
     * @param leases the leases by group, not null
     * @param renewals the offset of the last renewal by holder, not null
     */
    public LeaseTable(Map<String, GroupLease> leases, Map<String, Long> renewals) {
        this.leases = new TreeMap<>(leases);
        this.lastRenewals = new TreeMap<>(renewals);
    }

    /**
     * Reads a renewal.
     *
     * @param offset its offset
     * @param renewal the renewal, not null
     * @return why it is void, or empty
     */
    Optional<String> apply(long offset, AuthorityRecord.LeaseRenewal renewal) {
        if (!lastRenewals.containsKey(renewal.holder())) {
            return Optional.of("the holder holds nothing");
        }
        lastRenewals.put(renewal.holder(), offset);
        return Optional.empty();
    }

    /**
     * Reads a claim; it counts for each of its groups alone.
     *
     * @param offset its offset
     * @param claim the claim, not null
     * @return why it is void for all its groups, or empty
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
            return Optional.of("renewed, or claimed by another, before");
        }
        lastRenewals.put(claim.holder(), offset);
        removeIdleHolders();
        return Optional.empty();
    }

    /**
     * Reads a release; it counts for each of its groups alone.
     *
     * @param release the release, not null
     * @return why it is void for all its groups, or empty
     */
    Optional<String> apply(AuthorityRecord.LeaseRelease release) {
        boolean anyApplied = false;
        for (Map.Entry<String, Long> entry : release.epochs().entrySet()) {
            anyApplied |= leases.remove(entry.getKey(), new GroupLease(release.holder(), entry.getValue()));
        }
        removeIdleHolders();
        return anyApplied ? Optional.empty() : Optional.of("not held in that epoch");
    }

    /**
     * Returns who holds a group.
     *
     * @param group the group, not null
     * @return the lease, or empty where nobody holds it
     */
    public Optional<GroupLease> lease(String group) {
        return Optional.ofNullable(leases.get(group));
    }

    /**
     * Says whether a holder has a group in a given epoch.
     *
     * @param group the group, not null
     * @param holder the holder, not null
     * @param epoch the epoch
     * @return whether it is so by log order
     */
    boolean isHeld(String group, String holder, long epoch) {
        return new GroupLease(holder, epoch).equals(leases.get(group));
    }

    /**
     * Returns a holder's last renewal or claim.
     *
     * @param holder the holder, not null
     * @return its offset, or {@link #NO_RENEWAL}
     */
    public long lastRenewal(String holder) {
        return lastRenewals.getOrDefault(holder, NO_RENEWAL);
    }

    /**
     * Returns all leases.
     *
     * @return the leases by group; a view
     */
    public SortedMap<String, GroupLease> leases() {
        return Collections.unmodifiableSortedMap(leases);
    }

    /**
     * Returns all holders' last renewals.
     *
     * @return the offsets by holder; a view
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
