package org.dogwoodwinch.relay;

import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/** The outcome of a control call. */
public sealed interface ControlReply {

    /**
     * An answer came whole.
     *
     * @param status the HTTP status
     * @param body its body, not null
     */
    record Answered(int status, Bytes body) implements ControlReply {
        /** Validates the components. */
        public Answered {
            Objects.requireNonNull(body, "body");
        }
    }

    /**
     * No answer came; the call may have had its effect, now or later.
     *
     * @param reason what happened, not null
     */
    record Lost(String reason) implements ControlReply {
        /** Validates the components. */
        public Lost {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
