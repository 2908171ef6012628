package org.dogwoodwinch.admission;

/**
 * Determines when a borrower stops using a grant. Tests substitute an incorrect rule to verify that a violation of the
 * limit is detected.
 */
@FunctionalInterface
interface GrantExpiryRule {

    /**
     * Counts the term from the borrower's own time stamp, which was sent before the lender made the grant. The
     * borrower's use therefore always ends before the lender uses the units again.
     */
    GrantExpiryRule FROM_BORROWER_STAMP = (echoStampMillis, _nowMillis, termMillis) -> echoStampMillis + termMillis;

    /** Returns the time on the borrower's clock at which it stops using the grant. */
    long expiryMillis(long echoStampMillis, long nowMillis, long termMillis);
}
