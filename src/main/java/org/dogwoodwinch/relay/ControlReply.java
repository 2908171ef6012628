package org.dogwoodwinch.relay;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/** The outcome of a control call. */
public sealed interface ControlReply {

    /**
     * A complete response was received.
     *
     * @param status the HTTP status
     * @param headers the headers, not null
     * @param body the body, not null
     */
    record Answered(int status, HttpHeaders headers, Bytes body) implements ControlReply {
        /** Validates the components. */
        public Answered {
            Objects.requireNonNull(headers, "headers");
            Objects.requireNonNull(body, "body");
        }
    }

    /**
     * No complete response was received; the call may have taken effect or may still do so.
     *
     * @param reason the reason for logs, not null
     */
    record Lost(String reason) implements ControlReply {
        /** Validates the components. */
        public Lost {
            Objects.requireNonNull(reason, "reason");
        }
    }
}
