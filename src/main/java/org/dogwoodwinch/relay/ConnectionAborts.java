package org.dogwoodwinch.relay;

/** Tracks targets that close new connections without a response; the result may be sent to other instances. */
public interface ConnectionAborts {

    /**
     * Records that a target closed a connection that was opened for a call, before it responded to the call.
     *
     * @param targetId the id of the target, not null
     * @return the pause until the target is used again, in milliseconds
     */
    long recordAbort(String targetId);

    /**
     * Records that a target responded to a call, with whatever status.
     *
     * @param targetId the id of the target, not null
     */
    void recordResponse(String targetId);

    /**
     * Removes the records of a target that is no longer listed or has restarted.
     *
     * @param targetId the id of the target, not null
     */
    void removeTarget(String targetId);
}
