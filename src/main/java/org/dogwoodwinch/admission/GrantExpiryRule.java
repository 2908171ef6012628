package org.dogwoodwinch.admission;

/** From when on a borrower counts the term of a grant; tests put a wrong one in its place to see it caught. */
@FunctionalInterface
interface GrantExpiryRule {

    /** Counts from the borrower's own stamp, sent before the lender knew of it: the borrower always ends first. */
    GrantExpiryRule FROM_BORROWER_STAMP = (echoStampMillis, _nowMillis, termMillis) -> echoStampMillis + termMillis;

    /** Returns when the borrower stops using the grant, on its own clock. */
    long expiryMillis(long echoStampMillis, long nowMillis, long termMillis);
}
