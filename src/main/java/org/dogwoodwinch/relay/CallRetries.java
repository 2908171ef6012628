package org.dogwoodwinch.relay;

import java.util.Objects;
import org.dogwoodwinch.forwarding.RetryBudget;

/** What one call counts for the retry budget of its service, and takes from it. Confined to one event loop. */
final class CallRetries {

    private final RelayContext context;
    private final String service;
    private final boolean counted;
    private final CallSuspicion suspicion;
    private final CallAttempts attempts;

    CallRetries(RelayContext context, RoutedCall routed, CallSuspicion suspicion, CallAttempts attempts) {
        this.context = Objects.requireNonNull(context, "context");
        this.service = routed.service().name();
        this.counted = routed.counted();
        this.suspicion = Objects.requireNonNull(suspicion, "suspicion");
        this.attempts = Objects.requireNonNull(attempts, "attempts");
    }

    /**
     * Records that the call, or its prompt for a prefill, is written to a target. The first write counts the call as a
     * request.
     *
     * <p>Failure: a call counts as a request at the instance that received it and at the one that took it over, and the
     * fleet may retry twice as often as its budget allows.
     */
    void recordWritten() {
        if (attempts.recordWritten() && !counted) {
            budget().countRequest(service, nowMillis());
        }
    }

    /**
     * Takes a retry from the budget, if the call may be sent again.
     *
     * @param isLost whether the call was lost at a target that may have begun to run it
     * @return whether the call may be sent again
     */
    boolean tryTake(boolean isLost) {
        if (!suspicion.mayBeSentAgain(isLost)) {
            return false;
        }
        boolean taken = budget().tryTakeRetry(service, nowMillis());
        if (taken) {
            attempts.recordRetryTaken();
        }
        context.report()
                .retryDecided(service, taken ? RelayReport.RetryDecision.TAKEN : RelayReport.RetryDecision.NOT_GRANTED);
        return taken;
    }

    /** Returns the number of retries that calls of the service may take now. */
    double remaining() {
        return budget().remaining(service, nowMillis());
    }

    private RetryBudget budget() {
        return context.budget();
    }

    private long nowMillis() {
        return context.time().monotonicMillis();
    }
}
