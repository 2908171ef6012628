package org.dogwoodwinch.relay;

/** Judges targets that break off calls on new connections; what it judges may be told to other instances. */
public interface BreakOffs {

    /**
     * A target broke off a call before an answer, on a connection opened for it.
     *
     * @param targetId its id, not null
     * @return the pause until it is tried again, in milliseconds
     */
    long brokeOff(String targetId);

    /**
     * A target answered a call, in whatever way.
     *
     * @param targetId its id, not null
     */
    void answered(String targetId);

    /**
     * A target is listed no more, or has started anew.
     *
     * @param targetId its id, not null
     */
    void forget(String targetId);
}
