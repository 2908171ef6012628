package org.dogwoodwinch.request;

import java.util.function.Function;

/** What became of claiming an idempotency key. */
public sealed interface ClaimOutcome {

    /**
     * The claim was read back as the first of its key: this instance alone may send the request.
     *
     * @param claimId names the claim
     */
    record Won(String claimId) implements ClaimOutcome {}

    /**
     * An earlier claim holds the key.
     *
     * @param claim the earlier claim
     */
    record AlreadyClaimed(HeldClaim claim) implements ClaimOutcome {}

    /** The key was used for a different request. */
    record KeyReused() implements ClaimOutcome {}

    /**
     * The claim was not read back in time; it is void, and is released where it turns up on the log after all.
     *
     * @param detail why
     * @param retryAfterMillis when another try makes sense, in milliseconds
     */
    record Unavailable(String detail, long retryAfterMillis) implements ClaimOutcome {}

    /**
     * Calls the function of this outcome's kind.
     *
     * @param acquired for {@link Won}
     * @param alreadyClaimed for {@link AlreadyClaimed}
     * @param keyReused for {@link KeyReused}
     * @param unavailable for {@link Unavailable}
     * @param <T> what the functions return
     * @return what the function returned
     */
    default <T> T match(
            Function<Won, T> acquired,
            Function<AlreadyClaimed, T> alreadyClaimed,
            Function<KeyReused, T> keyReused,
            Function<Unavailable, T> unavailable) {
        if (this instanceof Won value) {
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
