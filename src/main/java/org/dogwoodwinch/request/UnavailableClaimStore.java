package org.dogwoodwinch.request;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * The claim store of an instance without a log. Every claim is unavailable, so that its request is refused as not run.
 */
public final class UnavailableClaimStore implements ClaimStore {

    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** Creates the store. */
    public UnavailableClaimStore() {}

    @Override
    public void claim(ClaimRequest _claim, Consumer<ClaimOutcome> outcome) {
        outcome.accept(new ClaimOutcome.Unavailable("no log is configured for idempotency claims", RETRY_AFTER_MILLIS));
    }

    @Override
    public Optional<HeldClaim> findHolder(ClaimRequest _claim) {
        return Optional.empty();
    }

    @Override
    public void recordMove(String _claimId, StreamPointer _pointer) {}

    @Override
    public void recordAnswer(String _claimId, StoredAnswer _answer) {}

    @Override
    public void abandon(String _claimId) {}

    @Override
    public void release(String _claimId) {}

    @Override
    public void readAnswer(HeldClaim _claim, Consumer<Optional<StoredAnswer>> answer) {
        answer.accept(Optional.empty());
    }
}
