package org.dogwoodwinch.relay;

import java.util.Objects;
import org.dogwoodwinch.forwarding.RetryBudget;

/** What one call counts for the retry budget of its service, and takes from it. Confined to one event loop. */
final class CallRetries {

    private final RelayContext context;
    private final String service;
    private final CallSuspicion suspicion;

    CallRetries(RelayContext context, String service, CallSuspicion suspicion) {
        this.context = Objects.requireNonNull(context, "context");
        this.service = Objects.requireNonNull(service, "service");
        this.suspicion = Objects.requireNonNull(suspicion, "suspicion");
    }

    /** Counts the call as a request. */
    void countRequest() {
        budget().countRequest(service, nowMillis());
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
