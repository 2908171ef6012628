package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Objects;
import org.dogwoodwinch.forwarding.SendOutcome;

/**
 * The one response that the caller of a call receives, built from the responses to its sends or generated here. Confined
 * to one event loop.
 *
 * <p>Once it has begun, it cannot be replaced by another one: whatever would end the call with an error aborts it then.
 */
final class CallerAnswer {

    private final CallerResponse caller;
    private final CallHeaders callHeaders;
    private final Runnable onBegin;
    private final Runnable onFull;
    private TargetResponse response;
    private boolean begun;

    /**
     * Creates an answer that has not begun.
     *
     * @param caller writes the response to the caller, not null
     * @param callHeaders builds the headers for the caller, not null
     * @param onBegin run before the first byte of a streamed response is sent, not null
     * @param onFull run when the caller cannot receive more bytes for now, not null
     */
    CallerAnswer(CallerResponse caller, CallHeaders callHeaders, Runnable onBegin, Runnable onFull) {
        this.caller = Objects.requireNonNull(caller, "caller");
        this.callHeaders = Objects.requireNonNull(callHeaders, "callHeaders");
        this.onBegin = Objects.requireNonNull(onBegin, "onBegin");
        this.onFull = Objects.requireNonNull(onFull, "onFull");
    }

    /** Returns whether a part of a target's response was sent to the caller. */
    boolean isBegun() {
        return begun;
    }

    /** Returns whether the head of a response to the current send was received. */
    boolean hasHead() {
        return response != null;
    }

    /** Forgets the response to the previous send. */
    void beginSend() {
        response = null;
    }

    void onHead(ResponseAttributes attributes, HttpHeaders headers) {
        response = new TargetResponse(attributes, headers);
    }

    /** Returns whether the current response is a proven success. */
    boolean isSuccess() {
        return response.isSuccess();
    }

    /** Returns whether the current response states that the call reached the wrong target. */
    boolean isMisdirected() {
        return response.isMisdirected();
    }

    /** Returns the outcome of the current send, whose complete response is not a success. */
    SendOutcome failure() {
        return response.failure();
    }

    /**
     * Buffers a part of a response that is not a success.
     *
     * @return whether it may become complete; false if it is too long
     */
    boolean bufferFailure(ByteBuf chunk) {
        return response.buffer(chunk) <= ReceiveLimits.MAX_BUFFERED_BODY_BYTES;
    }

    /** Relays a part of a successful response, which is buffered as long as it is short. */
    void relayOrBuffer(ByteBuf chunk) {
        if (begun) {
            write(chunk.retain());
        } else if (response.buffer(chunk) > ReceiveLimits.MAX_BUFFERED_BODY_BYTES) {
            relay(response.takeBuffered());
        }
    }

    /** Relays bytes of a successful response, if there are any. */
    void relay(byte[] bytes) {
        if (bytes.length > 0) {
            begin();
            write(Unpooled.wrappedBuffer(bytes));
        }
    }

    private void begin() {
        if (!begun) {
            begun = true;
            onBegin.run();
            caller.beginResponse(response.status(), callHeaders.callerHeaders(response.headers()));
        }
    }

    private void write(ByteBuf chunk) {
        caller.writeBody(chunk);
        if (!caller.isWritable()) {
            onFull.run();
        }
    }

    /** Ends the answer with the current response, which is complete. */
    void complete() {
        if (begun) {
            caller.endResponse();
        } else {
            sendBuffered();
        }
    }

    /** Answers with the current response, which is a complete failure of the target. */
    void relayFailure() {
        if (begun) {
            caller.abortResponse();
        } else {
            sendBuffered();
        }
    }

    private void sendBuffered() {
        caller.sendResponse(response.status(), callHeaders.callerHeaders(response.headers()), response.body());
    }

    /** Refuses a call that has not run, with the time after which the caller may come back. */
    void refuse(String reason, long retryAfterMillis) {
        if (begun) {
            caller.abortResponse();
        } else {
            LocalResponses.sendRetryable(caller, LocalResponses.UNAVAILABLE, reason, retryAfterMillis);
        }
    }

    /** Ends a call that no target serves: fails one that may have run, and refuses any other one. */
    void endUnserved(boolean mayHaveRun, int status, String reason, long retryAfterMillis) {
        if (mayHaveRun) {
            fail(status);
        } else {
            refuse(reason, retryAfterMillis);
        }
    }

    /** Fails a call that may have run. */
    void fail(int status) {
        if (begun) {
            caller.abortResponse();
        } else {
            LocalResponses.sendError(caller, status, "may have run");
        }
    }
}
