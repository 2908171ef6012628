package org.dogwoodwinch.routing;

import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;

/** Chooses targets for attempts and adapts to their outcomes. */
public interface Router {

    /**
     * Chooses the target or targets of one attempt.
     *
     * @param query the attempt, not null
     * @return the decision
     */
    Route route(RouteQuery query);

    /**
     * Records that an attempt was sent.
     *
     * @param attemptId identifies the attempt, not null
     * @param target the target that it was sent to, not null
     * @param query the query that was routed, not null
     */
    void onSent(String attemptId, Target target, RouteQuery query);

    /**
     * Records that the first token of an attempt arrived.
     *
     * @param attemptId identifies the attempt, not null
     * @param elapsedMillis the time since the attempt was sent, in milliseconds
     */
    void onFirstToken(String attemptId, long elapsedMillis);

    /**
     * Records that an attempt ended with a complete answer.
     *
     * @param attemptId identifies the attempt, not null
     * @param usage the tokens that it used, not null
     */
    void onCompleted(String attemptId, TokenUsage usage);

    /**
     * Records that an attempt failed.
     *
     * @param attemptId identifies the attempt, not null
     * @param failure the reason, not null
     */
    void onFailed(String attemptId, TargetFailure failure);

    /**
     * Records that an attempt was cancelled by its caller.
     *
     * @param attemptId identifies the attempt, not null
     */
    void onCancelled(String attemptId);
}
