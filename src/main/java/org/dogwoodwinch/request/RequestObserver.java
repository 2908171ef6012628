package org.dogwoodwinch.request;

import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.Usage;

/** Hears what becomes of requests, for counters, histograms and log lines; each call must return at once. */
public interface RequestObserver {

    /** Hears nothing. */
    RequestObserver NONE = new RequestObserver() {};

    /**
     * An attempt is about to be sent.
     *
     * @param request the request, not null
     * @param attemptId names the attempt, not null
     * @param target where to, not null
     */
    default void onAttempt(CallerRequest request, String attemptId, Target target) {}

    /**
     * An attempt is followed by another, or a cut stream is joined again.
     *
     * @param request the request, not null
     * @param reason why, not null
     */
    default void onRetry(CallerRequest request, RetryReason reason) {}

    /**
     * The first piece of the answer goes to the caller.
     *
     * @param request the request, not null
     * @param elapsedMillis since its arrival, in milliseconds
     */
    default void onFirstToken(CallerRequest request, long elapsedMillis) {}

    /**
     * A further piece of the answer goes to the caller.
     *
     * @param request the request, not null
     * @param elapsedMillis since the piece before it, in milliseconds
     */
    default void onNextToken(CallerRequest request, long elapsedMillis) {}

    /**
     * The caller got its whole answer.
     *
     * @param request the request, not null
     * @param usage what it cost; zeros for a plain service, not null
     */
    default void onCompleted(CallerRequest request, Usage usage) {}

    /**
     * The request was refused.
     *
     * @param request the request, not null
     * @param refusal why, not null
     */
    default void onRefused(CallerRequest request, Refusal refusal) {}

    /**
     * The caller left.
     *
     * @param request the request, not null
     */
    default void onCancelled(CallerRequest request) {}

    /**
     * Something came for an attempt that is over, or for another attempt, and was dropped.
     *
     * @param request the request on whose connection it came, not null
     */
    default void onLateAnswer(CallerRequest request) {}

    /**
     * A later request with the same idempotency key was given the outcome or the stream of the first.
     *
     * @param request the later request, not null
     */
    default void onJoined(CallerRequest request) {}

    /**
     * A broken invariant ended the request; it is to be logged.
     *
     * @param request the request, not null
     * @param fault what was thrown, not null
     */
    default void onFault(CallerRequest request, RuntimeException fault) {}
}
