package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.SendOutcome;

/** The answer to one send as far as it has arrived, and what it proves. */
final class TargetResponse {

    private static final int TOO_MANY_REQUESTS = 429;

    private final AnswerFacts facts;
    private final HttpHeaders headers;
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();

    TargetResponse(AnswerFacts facts, HttpHeaders headers) {
        this.facts = Objects.requireNonNull(facts, "facts");
        this.headers = Objects.requireNonNull(headers, "headers");
    }

    int status() {
        return facts.status();
    }

    HttpHeaders headers() {
        return headers;
    }

    /** Keeps a piece of the body and returns how much is kept. */
    int buffer(ByteBuf piece) {
        buffered.writeBytes(ByteBufUtil.getBytes(piece));
        return buffered.size();
    }

    /** Returns what is kept, which is then kept no more. */
    byte[] takeBuffered() {
        byte[] body = buffered.toByteArray();
        buffered.reset();
        return body;
    }

    Bytes body() {
        return Bytes.of(buffered.toByteArray());
    }

    /** A success counts with the target's signature alone and with the target's own bytes. */
    boolean isSuccess() {
        return facts.isSuccess()
                && facts.signed()
                && !facts.encoded()
                && facts.requestId().isPresent();
    }

    /** Another target answers at the address. */
    boolean isMisdirected() {
        return facts.isMisdirected();
    }

    /** What is known of the send, for an answer that is whole and no success. */
    SendOutcome failure() {
        int status = facts.status();
        if (facts.isRejected()) {
            return new SendOutcome.Rejected(status);
        }
        if (facts.isSuccess()) {
            return new SendOutcome.Unknown("success_not_proved");
        }
        if (status == TOO_MANY_REQUESTS || LocalResponses.guaranteesNotRun(status)) {
            // Handed on it would promise the caller what the target did not promise.
            return new SendOutcome.Unknown("refusal_not_proved");
        }
        return new SendOutcome.RanAndFailed(status);
    }
}
