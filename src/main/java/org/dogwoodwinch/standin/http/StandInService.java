package org.dogwoodwinch.standin.http;

/** What a stand-in does with a call. */
@FunctionalInterface
interface StandInService {

    /**
     * Handles a call; on an I/O thread, so it must not wait.
     *
     * @param call the call, not null
     * @param reply takes the answer, not null
     */
    void handle(StandInCall call, StandInReply reply);
}
