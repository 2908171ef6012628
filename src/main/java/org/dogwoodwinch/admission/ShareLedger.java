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
final class ShareLedger {

    private final String limitId;
    private final Map<GrantKey, Lent> lent = new LinkedHashMap<>();
    private final Map<GrantKey, Borrowed> borrowed = new LinkedHashMap<>();
    private long homeUnits;
    private boolean homeActive;
    private long homeInUse;
    private long waitingUnits;
    private long waitingTermMillis;

    ShareLedger(String limitId, long homeUnits) {
        this.limitId = limitId;
        this.homeUnits = homeUnits;
    }

    String limitId() {
        return limitId;
    }

    void setHome(long units, boolean active) {
        homeUnits = units;
        homeActive = active;
    }

    /** Units that this instance holds now, in use or free. */
    long heldUnits(long nowMillis) {
        return homeHeld() + borrowedUnits(nowMillis);
    }

    /** Uses one unit until it is released or the given time comes; empty where none is free for so long. */
    Optional<Use> tryUse(long untilMillis, long nowMillis) {
        if (homeFree() > 0) {
            homeInUse++;
            return Optional.of(() -> homeInUse--);
        }
        for (Borrowed grant : borrowed.values()) {
            if (!grant.returned && grant.endMillis >= untilMillis && nowMillis < grant.endMillis && grant.free() > 0) {
                grant.inUse++;
                grant.lastUsedMillis = nowMillis;
                return Optional.of(() -> grant.inUse--);
            }
        }
        return Optional.empty();
    }

    /** Says what waits for units here. */
    void setWaiting(long units, long termMillis) {
        waitingUnits = units;
        waitingTermMillis = termMillis;
    }

    Optional<ShareNote.Want> want() {
        return waitingUnits <= 0
                ? Optional.empty()
                : Optional.of(new ShareNote.Want(limitId, waitingUnits, waitingTermMillis));
    }

    /** Lends units to a borrower; the units are out of use here from this moment on. */
    void lend(GrantKey key, Loan loan) {
        long spare = Math.max(0, homeFree() - waitingUnits);
        long units = Math.min(spare, loan.units());
        if (units > 0) {
            lent.put(key, new Lent(loan, units));
        }
    }

    /** The borrower wishes to keep a grant: lengthens it, unless the units are wanted here. */
    void renew(GrantKey key, long echoStampMillis, long nowMillis, long marginMillis) {
        Lent grant = lent.get(key);
        if (grant != null && grant.toIndex >= 0 && waitingUnits == 0) {
            grant.echoStampMillis = echoStampMillis;
            grant.endMillis = Math.max(grant.endMillis, nowMillis + grant.termMillis + marginMillis);
        }
    }

    void takeBack(GrantKey key) {
        lent.remove(key);
    }

    /** Counts a grant of this home's former life as lent, as its borrower tells it. */
    void recallFormer(GrantKey key, long units, long endMillis) {
        lent.computeIfAbsent(key, _key -> new Lent(new Loan(-1, 0, units, 0, 0, endMillis), units));
    }

    List<ShareNote.Grant> grants() {
        List<ShareNote.Grant> grants = new ArrayList<>();
        lent.forEach((key, grant) -> {
            if (grant.toIndex >= 0) {
                grants.add(grant.toGrant(limitId, key.grantId()));
            }
        });
        return grants;
    }

    /** Takes a grant meant for this instance; one that was returned, or that is over, has no effect. */
    void borrow(GrantKey key, long units, long endMillis, long nowMillis) {
        Borrowed known = borrowed.get(key);
        if (known != null) {
            known.endMillis = Math.max(known.endMillis, endMillis);
        } else if (nowMillis < endMillis) {
            borrowed.put(key, new Borrowed(units, endMillis, nowMillis));
        }
    }

    List<ShareNote.Hold> holds() {
        List<ShareNote.Hold> holds = new ArrayList<>();
        borrowed.forEach((key, grant) -> holds.add(new ShareNote.Hold(
                limitId,
                key.lenderIndex(),
                key.lenderIncarnation(),
                key.grantId(),
                grant.units,
                grant.returned ? ShareNote.HoldState.RETURNED : ShareNote.HoldState.RENEW)));
        return holds;
    }

    /** Returns the unused grants of a lender that wants its units itself. */
    void returnTo(int lenderIndex, long forgetMillis) {
        borrowed.forEach((key, grant) -> {
            if (key.lenderIndex() == lenderIndex) {
                grant.returnIfUnused(forgetMillis);
            }
        });
    }

    /**
     * Returns the grants that were not used since a given time.
     *
     * <p>A returned grant stays known until {@code forgetMillis}, by which every copy of it that is still under way has
     * ended: a late copy of a renewal would else bring back units that the lender uses again.
     */
    void returnUnusedSince(long sinceMillis, long forgetMillis) {
        for (Borrowed grant : borrowed.values()) {
            if (grant.lastUsedMillis < sinceMillis) {
                grant.returnIfUnused(forgetMillis);
            }
        }
    }

    /** Marks every borrowed unit as used just now, for limits whose units are a rate. */
    void touch(long nowMillis) {
        borrowed.values().forEach(grant -> grant.lastUsedMillis = nowMillis);
    }

    /** Drops what is over on either side. */
    void expire(long nowMillis) {
        lent.values().removeIf(grant -> nowMillis >= grant.endMillis);
        borrowed.values().removeIf(grant -> nowMillis >= grant.endMillis);
    }

    boolean hasHolds() {
        return !borrowed.isEmpty();
    }

    boolean isBusy() {
        return waitingUnits > 0 || !lent.isEmpty() || !borrowed.isEmpty();
    }

    long waitingUnits() {
        return waitingUnits;
    }

    private long homeHeld() {
        long lentUnits = lent.values().stream().mapToLong(grant -> grant.units).sum();
        return homeActive ? Math.max(0, homeUnits - lentUnits) : 0;
    }

    private long homeFree() {
        return homeHeld() - homeInUse;
    }

    private long borrowedUnits(long nowMillis) {
        return borrowed.values().stream()
                .filter(grant -> !grant.returned && nowMillis < grant.endMillis)
                .mapToLong(grant -> grant.units)
                .sum();
    }

    /** A unit in use. */
    @FunctionalInterface
    interface Use {

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
     * @param toIndex the borrower's home; -1 where it is a loan of a former life
     * @param toIncarnation the borrower's incarnation
     * @param units the most units
     * @param echoStampMillis the borrower's stamp
     * @param termMillis the term
     * @param endMillis when the lender may use the units again, on the lender's clock
     */
    record Loan(int toIndex, long toIncarnation, long units, long echoStampMillis, long termMillis, long endMillis) {}

    private static final class Lent {

        private final int toIndex;
        private final long toIncarnation;
        private final long units;
        private final long termMillis;
        private long echoStampMillis;
        private long endMillis;

        Lent(Loan loan, long units) {
            this.toIndex = loan.toIndex();
            this.toIncarnation = loan.toIncarnation();
            this.units = units;
            this.termMillis = loan.termMillis();
            this.echoStampMillis = loan.echoStampMillis();
            this.endMillis = loan.endMillis();
        }

        ShareNote.Grant toGrant(String limitId, long grantId) {
            return new ShareNote.Grant(limitId, grantId, toIndex, toIncarnation, units, echoStampMillis, termMillis);
        }
    }

    private static final class Borrowed {

        private final long units;
        private long endMillis;
        private long lastUsedMillis;
        private long inUse;
        private boolean returned;

        Borrowed(long units, long endMillis, long nowMillis) {
            this.units = units;
            this.endMillis = endMillis;
            this.lastUsedMillis = nowMillis;
        }

        long free() {
            return units - inUse;
        }

        void returnIfUnused(long forgetMillis) {
            if (inUse == 0 && !returned) {
                returned = true;
                endMillis = Math.max(endMillis, forgetMillis);
            }
        }
    }
}
