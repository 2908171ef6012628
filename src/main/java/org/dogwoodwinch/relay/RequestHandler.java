package org.dogwoodwinch.relay;

import org.dogwoodwinch.forwarding.CallerLimits;

/** Handles the requests that connections from callers receive. */
interface RequestHandler {

    /**
     * Returns the limits for a new connection.
     *
     * @return the limits from the configuration in force
     */
    CallerLimits limits();

    /**
     * Returns whether connections are to be closed after their next response.
     *
     * @return whether the process is draining
     */
    boolean draining();

    /**
     * Returns the common limit for the memory of all request bodies.
     *
     * @return the limit shared by all connections
     */
    BodyMemory bodyMemory();

    /**
     * Handles a request.
     *
     * @param call the complete request, not null
     * @param caller writes the response to the caller, not null
     * @param onDone run exactly once, when the call has ended in any way, not null
     * @return the call under way, which is notified of events on the caller's connection; {@link ActiveCall#NONE} if
     *     the response was sent at once
     */
    ActiveCall handle(IncomingCall call, CallerResponse caller, Runnable onDone);

    /**
     * Records a request that was refused while it was read.
     *
     * @param status the status of the response
     * @param reason the reason of the refusal, not null
     */
    void recordRefusal(int status, String reason);

    /**
     * Records a request that was read whole and ended without a complete response.
     *
     * @param ended the request and who ended it, not null
     */
    void recordUnanswered(UnansweredRequest ended);
}
