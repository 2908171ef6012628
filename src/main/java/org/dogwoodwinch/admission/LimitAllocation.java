package org.dogwoodwinch.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One limit's units on one instance: those at home here, lent out, and borrowed.
 *
 * <p>Every unit of a limit has one home. A unit is used at home, or lent to one borrower for a term; the lender counts
 * the term from after the borrower's wish, the borrower from before it. So the borrower stops first, whatever messages
 * are lost or late and whoever is paused, and the sum over all instances never exceeds the limit. Not thread-safe.
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

    /** Units that this instance holds now, in use or free. */
    long heldUnits(long nowMillis) {
        return homeUnitsHeld() + borrowedUnits(nowMillis);
    }

    /** Uses one unit until it is released or the given time comes; empty where none is free for so long. */
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

    /** Says what waits for units here. */
    void setDemand(long units, long termMillis) {
        demandUnits = units;
        demandTermMillis = termMillis;
    }

    Optional<LimitShareMessage.BorrowRequest> borrowRequest() {
        return demandUnits <= 0
                ? Optional.empty()
                : Optional.of(new LimitShareMessage.BorrowRequest(limitId, demandUnits, demandTermMillis));
    }

    /** Lends units to a borrower; the units are out of use here from this moment on. */
    void lend(GrantKey key, LoanTerms terms) {
        long spareUnits = Math.max(0, homeUnitsFree() - demandUnits);
        long units = Math.min(spareUnits, terms.maxUnits());
        if (units > 0) {
            lentGrants.put(key, new LentGrant(terms, units));
        }
    }

    /** The borrower wishes to keep a grant: lengthens it, unless the units are wanted here. */
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

    /** Counts a grant of this home's former life as lent, as its borrower tells it. */
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

    /** Takes a grant meant for this instance; one that was returned, or that is over, has no effect. */
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

    /** Returns the unused grants of a lender that wants its units itself. */
    void returnUnusedTo(int lenderIndex, long retainUntilMillis) {
        borrowedGrants.forEach((key, grant) -> {
            if (key.lenderIndex() == lenderIndex) {
                grant.returnIfUnused(retainUntilMillis);
            }
        });
    }

    /**
     * Returns the grants that were not used since a given time.
     *
     * <p>A returned grant stays known until {@code forgetMillis}, by which every copy of it that is still under way has
     * ended: a late copy of a renewal would else bring back units that the lender uses again.
     */
    void returnUnusedSince(long sinceMillis, long retainUntilMillis) {
        for (BorrowedGrant grant : borrowedGrants.values()) {
            if (grant.lastUsedMillis < sinceMillis) {
                grant.returnIfUnused(retainUntilMillis);
            }
        }
    }

    /** Marks every borrowed unit as used just now, for limits whose units are a rate. */
    void markUsed(long nowMillis) {
        borrowedGrants.values().forEach(grant -> grant.lastUsedMillis = nowMillis);
    }

    /** Drops what is over on either side. */
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

    /** A unit in use. */
    @FunctionalInterface
    interface AcquiredUnit {

        /** Gives the unit back; call it once. */
        void release();
    }

    /**
     * Names a grant.
     *
     * @param lenderIndex the lender's home
     * @param lenderIncarnation the lender's incarnation
     * @param grantId the grant among its lender's
     */
    record GrantKey(int lenderIndex, long lenderIncarnation, long grantId) {}

    /**
     * A loan to be made.
     *
     * @param borrowerIndex the borrower's home; -1 where it is a loan of a former life
     * @param borrowerIncarnation the borrower's incarnation
     * @param maxUnits the most units
     * @param borrowerStampMillis the borrower's stamp
     * @param termMillis the term
     * @param expiryMillis when the lender may use the units again, on the lender's clock
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
