package org.dogwoodwinch.target.http;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.HttpResponseBodyPart;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TargetReply;

/** Buffers one answer up to a maximum size. */
final class BufferedAnswerHandler extends AnswerHandler {

    private final CompletableFuture<TargetReply<ServiceAnswer>> reply = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final int maxBodyBytes;

    /**
     * Creates a handler.
     *
     * @param maxBodyBytes the maximum size of the body, in bytes
     */
    BufferedAnswerHandler(int maxBodyBytes) {
        this.maxBodyBytes = maxBodyBytes;
    }

    /**
     * Returns the outcome.
     *
     * @return the outcome; never completes exceptionally
     */
    CompletableFuture<TargetReply<ServiceAnswer>> reply() {
        return reply;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        byte[] bytes = part.getBodyPartBytes();
        if (body.size() + bytes.length > maxBodyBytes) {
            fail(new TargetFailure.Broken("the answer exceeds " + maxBodyBytes + " bytes"));
            return State.ABORT;
        }
        body.write(bytes, 0, bytes.length);
        return State.CONTINUE;
    }

    @Override
    public void onThrowable(Throwable error) {
        fail(toFailure(error));
    }

    @Override
    public Void onCompleted() {
        if (status() == 0) {
            fail(new TargetFailure.Broken("the response ended without a status"));
            return null;
        }
        reply.complete(RefusalBody.parse(contentType(), body.toByteArray())
                .<TargetReply<ServiceAnswer>>map(TargetReply.Failure::new)
                .orElseGet(() -> new TargetReply.Answer<>(
                        new ServiceAnswer(status(), contentType(), Bytes.of(body.toByteArray())))));
        return null;
    }

    private void fail(TargetFailure failure) {
        reply.complete(new TargetReply.Failure<>(failure));
    }
}
