package org.dogwoodwinch.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Objects;
import org.dogwoodwinch.bytes.Bytes;

/**
 * Writes a response that names its call, also where this instance generates it. Another instance that passed the call on
 * accepts no response on a kept connection that does not name it.
 */
final class IdentifiedResponse implements CallerResponse {

    private final CallerResponse caller;
    private final CallHeaders callHeaders;
    private final String requestId;

    IdentifiedResponse(CallerResponse caller, CallHeaders callHeaders, String requestId) {
        this.caller = Objects.requireNonNull(caller, "caller");
        this.callHeaders = Objects.requireNonNull(callHeaders, "callHeaders");
        this.requestId = Objects.requireNonNull(requestId, "requestId");
    }

    @Override
    public void sendResponse(int status, HttpHeaders headers, Bytes body) {
        callHeaders.stateRequestId(headers, requestId);
        caller.sendResponse(status, headers, body);
    }

    @Override
    public void beginResponse(int status, HttpHeaders headers) {
        callHeaders.stateRequestId(headers, requestId);
        caller.beginResponse(status, headers);
    }

    @Override
    public void writeBody(ByteBuf chunk) {
        caller.writeBody(chunk);
    }

    @Override
    public void endResponse() {
        caller.endResponse();
    }

    @Override
    public void abortResponse() {
        caller.abortResponse();
    }

    @Override
    public boolean isWritable() {
        return caller.isWritable();
    }
}
