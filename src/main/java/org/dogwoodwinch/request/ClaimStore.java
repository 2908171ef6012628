package org.dogwoodwinch.request;

import java.util.Optional;
import java.util.function.Consumer;

/** Stores claims of idempotency keys for requests that must not run more than once. Thread-safe. */
public interface ClaimStore {

    /**
     * Claims a key.
     *
     * @param claim the claim, not null
     * @param outcome called exactly once with the outcome, not null; may be called before this method returns
     */
    void claim(ClaimRequest claim, Consumer<ClaimOutcome> outcome);

    /**
     * Returns the claim that currently holds a key, as far as the log has been read.
     *
     * @param claim a claim that lost to an earlier one, not null
     * @return the claim that holds the key, or empty if it was released
     */
    Optional<HeldClaim> findHolder(ClaimRequest claim);

    /**
     * Records that the request of an acquired claim is sent to another target, because the previous target proved that
     * it did not run there.
     *
     * @param claimId the claim's id, not null
     * @param pointer the new stream, not null
     */
    void recordMove(String claimId, StreamPointer pointer);

    /**
     * Records the answer to the request of an acquired claim.
     *
     * @param claimId the claim's id, not null
     * @param answer the answer, not null
     */
    void recordAnswer(String claimId, StoredAnswer answer);

    /**
     * Releases an acquired claim whose request is proved not to have run, so that a resend may run.
     *
     * @param claimId the claim's id, not null
     */
    void release(String claimId);

    /**
     * Ends the processing of an acquired claim whose request may have run. The claim still holds its key, and a resend
     * with the key may join the stream.
     *
     * @param claimId the claim's id, not null
     */
    void abandon(String claimId);

    /**
     * Reads the stored answer of a claim.
     *
     * @param claim a claim that has an outcome, not null
     * @param answer receives the answer, or empty if the log does not reply or no longer holds it, not null
     */
    void readAnswer(HeldClaim claim, Consumer<Optional<StoredAnswer>> answer);
}
