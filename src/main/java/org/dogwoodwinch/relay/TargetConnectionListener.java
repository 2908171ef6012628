package org.dogwoodwinch.relay;

/** Receives what happens on a connection to a target. */
interface TargetConnectionListener {

    /** Bytes of a response arrived. */
    void heard();

    /**
     * The head of a response arrived that belongs to the call under way, or as a whole to an earlier one.
     *
     * @param attributes what the head states, not null
     */
    void responseHead(ResponseAttributes attributes);

    /**
     * The target sent bytes that do not belong to the call under way, or that nothing proves to belong to it.
     *
     * @param connection the connection, which is not used for another call, not null
     * @param reason the reason for logs and metrics, not null
     */
    void repeated(TargetConnection connection, String reason);

    /**
     * The connection can carry another call.
     *
     * @param connection the connection, not null
     */
    void idle(TargetConnection connection);

    /**
     * The connection was closed.
     *
     * @param connection the connection, not null
     */
    void closed(TargetConnection connection);
}
