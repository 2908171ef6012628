package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.SendOutcome;

/** The response to one send as received so far, and what it proves about the call. */
final class TargetResponse {

    private static final int TOO_MANY_REQUESTS = 429;

    private final ResponseAttributes attributes;
    private final HttpHeaders headers;
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();

    TargetResponse(ResponseAttributes attributes, HttpHeaders headers) {
        this.attributes = Objects.requireNonNull(attributes, "attributes");
        this.headers = Objects.requireNonNull(headers, "headers");
    }

    int status() {
        return attributes.status();
    }

    HttpHeaders headers() {
        return headers;
    }

    /** Buffers a chunk of the body and returns the number of buffered bytes. */
    int buffer(ByteBuf chunk) {
        buffered.writeBytes(ByteBufUtil.getBytes(chunk));
        return buffered.size();
    }

    /** Returns the buffered bytes and clears the buffer. */
    byte[] takeBuffered() {
        byte[] body = buffered.toByteArray();
        buffered.reset();
        return body;
    }

    Bytes body() {
        return Bytes.of(buffered.toByteArray());
    }

    /**
     * Returns whether the response is a proven success: it carries the target's signature and the id of the call, and
     * its body was not re-encoded on the way.
     */
    boolean isSuccess() {
        return attributes.isSuccess() && attributes.signed() && !attributes.encoded() && attributes.identified();
    }

    /** Returns whether the response states that the call reached the wrong target. */
    boolean isMisdirected() {
        return attributes.isMisdirected();
    }

    /** Returns the outcome of the send, for a complete response that is not a success. */
    SendOutcome failure() {
        int status = attributes.status();
        if (attributes.isRejected()) {
            return new SendOutcome.Rejected(status);
        }
        if (attributes.isSuccess()) {
            return new SendOutcome.Unknown("success_not_proved");
        }
        if (status == TOO_MANY_REQUESTS || LocalResponses.guaranteesNotRun(status)) {
            // Relayed, the status would guarantee to the caller that the call did not run, which the target did not
            // state.
            return new SendOutcome.Unknown("refusal_not_proved");
        }
        return new SendOutcome.RanAndFailed(status);
    }
}
