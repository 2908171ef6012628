package org.dogwoodwinch.relay;

/** A service whose calls end in an orderly way before its process exits. Confined to one event loop. */
public interface DrainableService {

    /** Starts draining: from now on, responses ask callers to close their connections. */
    void startDraining();

    /** Stops accepting connections and closes idle ones; later requests on the remaining connections are refused. */
    void stopAccepting();

    /**
     * Refuses the calls that wait for capacity and are not expected to end in time, so that their callers return to other
     * instances.
     *
     * @param remainingMillis the time after which the calls under way are ended
     */
    void refuseUnfinishableCalls(long remainingMillis);

    /**
     * Ends all calls under way with an answer. Nothing is written to a target afterwards.
     *
     * @return the number of calls that were ended
     */
    int endOpenCalls();

    /**
     * Returns the number of calls under way.
     *
     * @return the calls without a complete response
     */
    int openCallsCount();

    /**
     * Returns the number of connections from callers. A connection that is to be closed counts until all that was written
     * to it has left the process.
     *
     * @return the open connections
     */
    int callerConnectionsCount();

    /**
     * Logs the numbers of calls and connections and the version of the configuration.
     *
     * @param event the name of the log event, not null
     */
    void logState(String event);
}
