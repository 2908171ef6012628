package org.dogwoodwinch.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The units of one limit on one instance: its home units, the units that it lent and the units that it borrowed.
 *
 * <p>Every unit of a limit is assigned to one home. A unit is used by its home or lent to one borrower for a term. The
 * lender counts the term from the receipt of the borrower's request, and the borrower from the sending of it. The
 * borrower therefore stops first, even if messages are lost or delayed or instances are paused, and the units in use on
 * all instances never exceed the limit. Not thread-safe.
 */
final class LimitAllocation {

    private final String limitId;
    private final Map<GrantKey, LentGrant> lentGrants = new LinkedHashMap<>();
    private final Map<GrantKey, BorrowedGrant> borrowedGrants = new LinkedHashMap<>();
    private long homeUnits;
    private boolean homeUsable;
    private long homeUnitsInUse;
    private long demandUnits;
    private long demandTermMillis;

    LimitAllocation(String limitId, long homeUnits) {
        this.limitId = limitId;
        this.homeUnits = homeUnits;
    }

    String limitId() {
        return limitId;
    }

    void setHomeUnits(long units, boolean usable) {
        homeUnits = units;
        homeUsable = usable;
    }

    /** Returns the number of units that this instance may use now, in use or free. */
    long heldUnits(long nowMillis) {
        return homeUnitsHeld() + borrowedUnits(nowMillis);
    }

    /** Acquires one unit until it is released; empty if none is free and valid until the given time. */
    Optional<AcquiredUnit> tryAcquire(long untilMillis, long nowMillis) {
        if (homeUnitsFree() > 0) {
            homeUnitsInUse++;
            return Optional.of(() -> homeUnitsInUse--);
        }
        for (BorrowedGrant grant : borrowedGrants.values()) {
            if (!grant.returned
                    && grant.expiryMillis >= untilMillis
                    && nowMillis < grant.expiryMillis
                    && grant.freeUnits() > 0) {
                grant.unitsInUse++;
                grant.lastUsedMillis = nowMillis;
                return Optional.of(() -> grant.unitsInUse--);
            }
        }
        return Optional.empty();
    }

    /** Sets the number of units that requests on this instance wait for, and the term for which they need them. */
    void setDemand(long units, long termMillis) {
        demandUnits = units;
        demandTermMillis = termMillis;
    }

    Optional<LimitShareMessage.BorrowRequest> borrowRequest() {
        return demandUnits <= 0
                ? Optional.empty()
                : Optional.of(new LimitShareMessage.BorrowRequest(limitId, demandUnits, demandTermMillis));
    }

    /** Lends free units to a borrower; this instance stops using them at once. */
    void lend(GrantKey key, LoanTerms terms) {
        long spareUnits = Math.max(0, homeUnitsFree() - demandUnits);
        long units = Math.min(spareUnits, terms.maxUnits());
        if (units > 0) {
            lentGrants.put(key, new LentGrant(terms, units));
        }
    }

    /** Extends a grant that its borrower still holds, unless requests on this instance wait for units. */
    void renew(GrantKey key, long borrowerStampMillis, long nowMillis, long marginMillis) {
        LentGrant lentGrant = lentGrants.get(key);
        if (lentGrant != null && lentGrant.borrowerIndex >= 0 && demandUnits == 0) {
            lentGrant.borrowerStampMillis = borrowerStampMillis;
            lentGrant.expiryMillis = Math.max(lentGrant.expiryMillis, nowMillis + lentGrant.termMillis + marginMillis);
        }
    }

    void reclaim(GrantKey key) {
        lentGrants.remove(key);
    }

    /** Records as lent a grant of a previous incarnation of this home, as reported by its borrower. */
    void recordPreviousLoan(GrantKey key, long units, long expiryMillis) {
        lentGrants.computeIfAbsent(key, _key -> new LentGrant(new LoanTerms(-1, 0, units, 0, 0, expiryMillis), units));
    }

    List<LimitShareMessage.Grant> grants() {
        List<LimitShareMessage.Grant> grants = new ArrayList<>();
        lentGrants.forEach((key, grant) -> {
            if (grant.borrowerIndex >= 0) {
                grants.add(grant.toMessageGrant(limitId, key.grantId()));
            }
        });
        return grants;
    }

    /**
     * Adds or extends a grant to this instance. A grant that is already expired is ignored, and one that was returned
     * stays returned.
     */
    void borrow(GrantKey key, long units, long expiryMillis, long nowMillis) {
        BorrowedGrant existing = borrowedGrants.get(key);
        if (existing != null) {
            existing.expiryMillis = Math.max(existing.expiryMillis, expiryMillis);
        } else if (nowMillis < expiryMillis) {
            borrowedGrants.put(key, new BorrowedGrant(units, expiryMillis, nowMillis));
        }
    }

    List<LimitShareMessage.HeldGrant> heldGrants() {
        List<LimitShareMessage.HeldGrant> heldGrants = new ArrayList<>();
        borrowedGrants.forEach((key, grant) -> heldGrants.add(new LimitShareMessage.HeldGrant(
                limitId,
                key.lenderIndex(),
                key.lenderIncarnation(),
                key.grantId(),
                grant.units,
                grant.returned ? LimitShareMessage.HeldGrantState.RETURNED : LimitShareMessage.HeldGrantState.RENEW)));
        return heldGrants;
    }

    /** Returns the unused grants of a lender that needs its units itself. */
    void returnUnusedTo(int lenderIndex, long retainUntilMillis) {
        borrowedGrants.forEach((key, grant) -> {
            if (key.lenderIndex() == lenderIndex) {
                grant.returnIfUnused(retainUntilMillis);
            }
        });
    }

    /**
     * Returns the grants that have not been used since the given time.
     *
     * <p>A returned grant is retained until {@code retainUntilMillis}, when every copy of it that is still in transit
     * has expired. Otherwise a delayed renewal would restore units that the lender uses again.
     */
    void returnUnusedSince(long sinceMillis, long retainUntilMillis) {
        for (BorrowedGrant grant : borrowedGrants.values()) {
            if (grant.lastUsedMillis < sinceMillis) {
                grant.returnIfUnused(retainUntilMillis);
            }
        }
    }

    /** Marks all borrowed units as used now, for limits whose units are parts of a rate. */
    void markUsed(long nowMillis) {
        borrowedGrants.values().forEach(grant -> grant.lastUsedMillis = nowMillis);
    }

    /** Removes expired grants, both lent and borrowed. */
    void removeExpired(long nowMillis) {
        lentGrants.values().removeIf(grant -> nowMillis >= grant.expiryMillis);
        borrowedGrants.values().removeIf(grant -> nowMillis >= grant.expiryMillis);
    }

    boolean hasBorrowedGrants() {
        return !borrowedGrants.isEmpty();
    }

    boolean hasDemandOrGrants() {
        return demandUnits > 0 || !lentGrants.isEmpty() || !borrowedGrants.isEmpty();
    }

    long demandUnits() {
        return demandUnits;
    }

    private long homeUnitsHeld() {
        long lentUnits =
                lentGrants.values().stream().mapToLong(grant -> grant.units).sum();
        return homeUsable ? Math.max(0, homeUnits - lentUnits) : 0;
    }

    private long homeUnitsFree() {
        return homeUnitsHeld() - homeUnitsInUse;
    }

    private long borrowedUnits(long nowMillis) {
        return borrowedGrants.values().stream()
                .filter(grant -> !grant.returned && nowMillis < grant.expiryMillis)
                .mapToLong(grant -> grant.units)
                .sum();
    }

    /** A unit that a request has acquired. */
    @FunctionalInterface
    interface AcquiredUnit {

        /** Releases the unit; must be called once only. */
        void release();
    }

    /**
     * Identifies a grant.
     *
     * @param lenderIndex the home index of the lender
     * @param lenderIncarnation the incarnation of the lender
     * @param grantId the identifier of the grant, unique for its lender's incarnation
     */
    record GrantKey(int lenderIndex, long lenderIncarnation, long grantId) {}

    /**
     * The terms of a loan.
     *
     * @param borrowerIndex the home index of the borrower; -1 for a loan of a previous incarnation of the lender
     * @param borrowerIncarnation the incarnation of the borrower
     * @param maxUnits the maximum number of units to lend
     * @param borrowerStampMillis the time stamp of the borrower's message, on the borrower's clock
     * @param termMillis the term, in milliseconds
     * @param expiryMillis time at which the lender may use the units again, on the lender's clock
     */
    record LoanTerms(
            int borrowerIndex,
            long borrowerIncarnation,
            long maxUnits,
            long borrowerStampMillis,
            long termMillis,
            long expiryMillis) {}

    private static final class LentGrant {

        private final int borrowerIndex;
        private final long borrowerIncarnation;
        private final long units;
        private final long termMillis;
        private long borrowerStampMillis;
        private long expiryMillis;

        LentGrant(LoanTerms terms, long units) {
            this.borrowerIndex = terms.borrowerIndex();
            this.borrowerIncarnation = terms.borrowerIncarnation();
            this.units = units;
            this.termMillis = terms.termMillis();
            this.borrowerStampMillis = terms.borrowerStampMillis();
            this.expiryMillis = terms.expiryMillis();
        }

        LimitShareMessage.Grant toMessageGrant(String limitId, long grantId) {
            return new LimitShareMessage.Grant(
                    limitId, grantId, borrowerIndex, borrowerIncarnation, units, borrowerStampMillis, termMillis);
        }
    }

    private static final class BorrowedGrant {

        private final long units;
        private long expiryMillis;
        private long lastUsedMillis;
        private long unitsInUse;
        private boolean returned;

        BorrowedGrant(long units, long expiryMillis, long nowMillis) {
            this.units = units;
            this.expiryMillis = expiryMillis;
            this.lastUsedMillis = nowMillis;
        }

        long freeUnits() {
            return units - unitsInUse;
        }

        void returnIfUnused(long retainUntilMillis) {
            if (unitsInUse == 0 && !returned) {
                returned = true;
                expiryMillis = Math.max(expiryMillis, retainUntilMillis);
            }
        }
    }
}
