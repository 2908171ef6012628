package org.dogwoodwinch.target.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Objects;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;
import org.dogwoodwinch.target.TargetFailure;

/** Receives the head of one answer, and tracks whether its request may have been written. */
abstract class AnswerHandler implements AsyncHandler<Void> {

    private final SendProgress progress = new SendProgress();
    private int status;
    private String contentType = "";

    /** Returns whether a byte of the request may have reached the target. */
    final boolean mayHaveWritten() {
        return progress.mayHaveWritten();
    }

    /** Returns the HTTP status; zero before it is received. */
    final int status() {
        return status;
    }

    /** Returns the content type; empty before the headers are received or if they have none. */
    final String contentType() {
        return contentType;
    }

    /** Converts an error of the exchange to a failure. */
    final TargetFailure toFailure(Throwable error) {
        return progress.toFailure(error);
    }

    @Override
    public final void onRequestSend(NettyRequest _request) {
        progress.markWriteStarted();
    }

    @Override
    public State onStatusReceived(HttpResponseStatus responseStatus) {
        status = responseStatus.getStatusCode();
        return State.CONTINUE;
    }

    @Override
    public final State onHeadersReceived(HttpHeaders headers) {
        contentType = Objects.requireNonNullElse(headers.get(HttpHeaderNames.CONTENT_TYPE), "");
        return State.CONTINUE;
    }
}
