package org.dogwoodwinch.request;

import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TokenUsage;

/** Observes requests for counters, histograms and log lines. Implementations must not block. */
public interface RequestObserver {

    /** An observer that ignores all events. */
    RequestObserver NONE = new RequestObserver() {};

    /**
     * Called when an attempt is about to be sent.
     *
     * @param request the request, not null
     * @param attemptId the attempt's id, not null
     * @param target the target that it is sent to, not null
     */
    default void onAttemptSending(CallerRequest request, String attemptId, Target target) {}

    /**
     * Called when a failed attempt is retried or an interrupted stream is resumed.
     *
     * @param request the request, not null
     * @param reason the reason, not null
     */
    default void onRetry(CallerRequest request, RetryReason reason) {}

    /**
     * Called when the first chunk of the answer is delivered to the caller.
     *
     * @param request the request, not null
     * @param elapsedMillis the time since the request arrived, in milliseconds
     */
    default void onFirstToken(CallerRequest request, long elapsedMillis) {}

    /**
     * Called when a further chunk of the answer is delivered to the caller.
     *
     * @param request the request, not null
     * @param elapsedMillis the time since the previous chunk, in milliseconds
     */
    default void onNextToken(CallerRequest request, long elapsedMillis) {}

    /**
     * Called when the complete answer has been delivered to the caller.
     *
     * @param request the request, not null
     * @param usage the tokens used; all zero for a plain service, not null
     */
    default void onCompleted(CallerRequest request, TokenUsage usage) {}

    /**
     * Called when the request is refused.
     *
     * @param request the request, not null
     * @param refusal the refusal that the caller receives, not null
     */
    default void onRefused(CallerRequest request, Refusal refusal) {}

    /**
     * Called when the request is cancelled because its caller disconnected.
     *
     * @param request the request, not null
     */
    default void onCancelled(CallerRequest request) {}

    /**
     * Called when a chunk or result was dropped because it belongs to an attempt that has ended or to another attempt.
     *
     * @param request the request on whose connection it arrived, not null
     */
    default void onLateAnswerDropped(CallerRequest request) {}

    /**
     * Called when a resend starts waiting for the outcome or the stream of the earlier request with the same
     * idempotency key.
     *
     * @param request the resend, not null
     */
    default void onResendJoined(CallerRequest request) {}

    /**
     * Called when an unexpected exception ended the request, so that it can be logged.
     *
     * @param request the request, not null
     * @param fault the exception, not null
     */
    default void onInternalError(CallerRequest request, RuntimeException fault) {}
}
