package org.dogwoodwinch.relay;

import java.util.Objects;

/**
 * A call that was under way when this instance had to end, and how it was ended.
 *
 * @param requestId the id of the call, empty if it has none, not null
 * @param stage how far the call had come, for logs, not null
 * @param ending how the caller learns of the end, not null
 * @param ageMillis the time since the call arrived
 */
record StoppedCall(String requestId, String stage, Ending ending, long ageMillis) {

    /** How the caller of a call learns that the instance ends. */
    enum Ending {
        /** The caller is told that the call has not run and when to come back. */
        REFUSED,
        /** The instance that passed the call on is told that it has not run, and tries another one. */
        NOT_TAKEN_OVER,
        /** The caller is told that the call may have run. */
        FAILED,
        /** The response had begun; its connection is closed so that it cannot be taken for a complete one. */
        ABORTED;

        /** Returns the end of a call of which a response may have begun and which may have run. */
        static Ending of(boolean isBegun, boolean mayHaveRun) {
            if (isBegun) {
                return ABORTED;
            }
            return mayHaveRun ? FAILED : REFUSED;
        }
    }

    StoppedCall {
        Objects.requireNonNull(requestId, "requestId");
        Objects.requireNonNull(stage, "stage");
        Objects.requireNonNull(ending, "ending");
    }
}
