package org.dogwoodwinch.relay;

/** Receives each call that began to run, once, for the usage of its owner. */
@FunctionalInterface
public interface CallStarts {

    /** Counts nothing. */
    CallStarts NONE = (_owner, _startedWallMillis) -> {};

    /**
     * Records that a call began to run.
     *
     * @param owner the name of its owner, not null
     * @param startedWallMillis when it began, in milliseconds since 1970
     */
    void recordStart(String owner, long startedWallMillis);
}
