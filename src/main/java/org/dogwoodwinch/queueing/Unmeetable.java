package org.dogwoodwinch.queueing;

import java.util.Objects;

/**
 * A call that was removed from a queue because it can no longer be served in time.
 *
 * @param call the call, not null
 * @param expectedWaitMillis the wait that was expected
 */
public record Unmeetable(WaitingCall call, long expectedWaitMillis) {

    /** Validates the components. */
    public Unmeetable {
        Objects.requireNonNull(call, "call");
    }
}
