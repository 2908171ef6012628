package org.dogwoodwinch.request;

import java.util.Optional;
import java.util.function.Consumer;

/** Claims of idempotency keys for calls that may not be repeated. Safe to call from many threads. */
public interface ClaimStore {

    /**
     * Claims a key.
     *
     * @param claim the claim, not null
     * @param outcome takes the outcome, exactly once, not null; it may be called before this method returns
     */
    void claim(ClaimRequest claim, Consumer<ClaimOutcome> outcome);

    /**
     * Looks at a key again, as far as the log has been read.
     *
     * @param claim the claim that found an earlier one, not null
     * @return the claim that holds the key, or empty where it was released
     */
    Optional<HeldClaim> findHolder(ClaimRequest claim);

    /**
     * Records that a won claim's request goes to another target, its first one having proved that it did not run.
     *
     * @param claimId the claim, not null
     * @param pointer the new stream, not null
     */
    void recordMove(String claimId, StreamPointer pointer);

    /**
     * Records the outcome of a won claim's request.
     *
     * @param claimId the claim, not null
     * @param answer the answer, not null
     */
    void completed(String claimId, KeptAnswer answer);

    /**
     * Gives a won claim up: its request is proved not to have run, and a resend may run.
     *
     * @param claimId the claim, not null
     */
    void release(String claimId);

    /**
     * Stops work on a won claim whose request may have run; its stream is left to whoever resends the key.
     *
     * @param claimId the claim, not null
     */
    void abandon(String claimId);

    /**
     * Reads an outcome back.
     *
     * @param claim a claim with an outcome, not null
     * @param answer takes the answer, or empty where the log does not answer or has lost it, not null
     */
    void readAnswer(HeldClaim claim, Consumer<Optional<KeptAnswer>> answer);
}
