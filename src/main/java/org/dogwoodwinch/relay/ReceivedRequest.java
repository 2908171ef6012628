package org.dogwoodwinch.relay;

import java.util.Objects;

/** What was read from a caller's connection. */
sealed interface ReceivedRequest {

    /**
     * A complete request.
     *
     * @param call the request, not null
     * @param keepAlive whether the caller wants to keep the connection
     * @param http10 whether the caller speaks HTTP/1.0
     */
    record Complete(IncomingCall call, boolean keepAlive, boolean http10) implements ReceivedRequest {

        public Complete {
            Objects.requireNonNull(call, "call");
        }
    }

    /**
     * The reason why no more requests are read from the connection.
     *
     * @param status the status of the response
     * @param reason the body of the response, not null
     */
    record Unreadable(int status, String reason) implements ReceivedRequest {

        public Unreadable {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
