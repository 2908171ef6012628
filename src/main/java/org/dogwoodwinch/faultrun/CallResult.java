package org.dogwoodwinch.faultrun;

import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.request.RunState;

/** How one call ended, as its caller saw it. */
sealed interface CallResult {

    /**
     * An answer that claims to be whole.
     *
     * @param text the answer
     */
    record Answered(String text) implements CallResult {}

    /**
     * A refusal, before or after a part of the answer.
     *
     * @param reason why
     * @param run what it says about the run
     * @param retryAfterMillis when to come back, in milliseconds; zero where coming back does not help
     */
    record Refused(RefusalReason reason, RunState run, long retryAfterMillis) implements CallResult {}

    /**
     * Neither.
     *
     * @param connected whether the instance had taken the connection
     * @param detail what the caller saw
     */
    record Lost(boolean connected, String detail) implements CallResult {}
}
