package org.dogwoodwinch.request;

import java.util.function.Function;

/** The outcome of claiming an idempotency key. */
public sealed interface ClaimOutcome {

    /**
     * The claim was read back as the first of its key: only this instance may send the request.
     *
     * @param claimId the claim's id
     */
    record Acquired(String claimId) implements ClaimOutcome {}

    /**
     * An earlier claim holds the key.
     *
     * @param claim the earlier claim
     */
    record AlreadyClaimed(HeldClaim claim) implements ClaimOutcome {}

    /** The key was used for a different request. */
    record KeyReused() implements ClaimOutcome {}

    /**
     * The claim was not read back in time. It is invalid, and is released if it appears on the log later.
     *
     * @param detail the cause, for people
     * @param retryAfterMillis the delay after which a retry is useful, in milliseconds
     */
    record Unavailable(String detail, long retryAfterMillis) implements ClaimOutcome {}

    /**
     * Applies the function that corresponds to the type of this outcome.
     *
     * @param acquired for {@link Acquired}
     * @param alreadyClaimed for {@link AlreadyClaimed}
     * @param keyReused for {@link KeyReused}
     * @param unavailable for {@link Unavailable}
     * @param <T> the result type of the functions
     * @return the result of the function applied
     */
    default <T> T match(
            Function<Acquired, T> acquired,
            Function<AlreadyClaimed, T> alreadyClaimed,
            Function<KeyReused, T> keyReused,
            Function<Unavailable, T> unavailable) {
        if (this instanceof Acquired value) {
            return acquired.apply(value);
        }
        if (this instanceof AlreadyClaimed value) {
            return alreadyClaimed.apply(value);
        }
        if (this instanceof KeyReused value) {
            return keyReused.apply(value);
        }
        return unavailable.apply((Unavailable) this);
    }
}
