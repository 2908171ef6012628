package org.dogwoodwinch.relay;

import org.dogwoodwinch.forwarding.CallerLimits;

/** What callers' connections ask of the process. */
interface RequestHandler {

    /**
     * Returns the limits of a new connection.
     *
     * @return those of the configuration in force
     */
    CallerLimits limits();

    /**
     * Says whether connections are to be closed after their answer.
     *
     * @return whether the process stops
     */
    boolean draining();

    /**
     * Returns the bound of all bodies held at once.
     *
     * @return the bound, the same for all connections
     */
    BodyMemory bodyMemory();

    /**
     * Takes a request.
     *
     * @param call the request, read whole, not null
     * @param caller gets the answer, not null
     * @param onDone told once when the call has ended in any way, not null
     * @return the call's life, for what its caller does meanwhile; {@link ActiveCall#NONE} where it was answered at once
     */
    ActiveCall handle(IncomingCall call, CallerResponse caller, Runnable onDone);

    /**
     * A request was refused while it was read.
     *
     * @param status the answer's status
     * @param reason why, not null
     */
    void recordRefusal(int status, String reason);
}
