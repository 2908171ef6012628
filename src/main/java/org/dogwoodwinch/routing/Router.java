package org.dogwoodwinch.routing;

import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.Usage;

/** Chooses targets and learns from what becomes of the attempts. */
public interface Router {

    /**
     * Chooses the target or targets of one attempt.
     *
     * @param query the attempt, not null
     * @return the choice
     */
    Route route(RouteQuery query);

    /**
     * Hears that an attempt was sent.
     *
     * @param attemptId names the attempt, not null
     * @param target where to, not null
     * @param query what was routed, not null
     */
    void onSent(String attemptId, Target target, RouteQuery query);

    /**
     * Hears that an attempt's first token came.
     *
     * @param attemptId names the attempt, not null
     * @param elapsedMillis how long after it was sent, in milliseconds
     */
    void onFirstToken(String attemptId, long elapsedMillis);

    /**
     * Hears that an attempt ended with the whole answer.
     *
     * @param attemptId names the attempt, not null
     * @param usage what it cost, not null
     */
    void onCompleted(String attemptId, Usage usage);

    /**
     * Hears that an attempt failed.
     *
     * @param attemptId names the attempt, not null
     * @param failure why, not null
     */
    void onFailed(String attemptId, TargetFailure failure);

    /**
     * Hears that an attempt was given up by its caller.
     *
     * @param attemptId names the attempt, not null
     */
    void onCancelled(String attemptId);
}
