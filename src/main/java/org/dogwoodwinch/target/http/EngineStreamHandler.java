package org.dogwoodwinch.target.http;

import com.fasterxml.jackson.databind.ObjectReader;
import io.netty.channel.Channel;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.AnswerListener;
import org.dogwoodwinch.target.TargetFailure;

/**
 * Reads the answer stream of one attempt, line by line.
 *
 * <p>An answer is complete only if the engine's final line says so; an HTTP body that ends without it is a truncated
 * answer. A line of another attempt fails the stream, so that an engine or a proxy that mixes up answers cannot pass
 * one caller's text to another.
 */
final class EngineStreamHandler extends AnswerHandler {

    private static final ObjectReader LINE_READER = TargetJson.reader(StreamLine.class);
    private static final int OK = 200;
    private static final int MAX_LINE_BYTES = 1 << 20;
    private static final int MAX_ERROR_BODY_BYTES = 1 << 16;

    private final String attemptId;
    private final AnswerListener listener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final LineSplitter splitter = new LineSplitter(MAX_LINE_BYTES);
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private final ReadController readController = new ReadController();
    private volatile Runnable onEnd = () -> {};

    /**
     * Creates a handler.
     *
     * @param attemptId the attempt whose lines are accepted, not null
     * @param listener receives the answer, not null
     */
    EngineStreamHandler(String attemptId, AnswerListener listener) {
        this.attemptId = Objects.requireNonNull(attemptId, "attemptId");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Returns the controller that stops and resumes reading.
     *
     * @return the controller
     */
    ReadController readController() {
        return readController;
    }

    /**
     * Ends the attempt without calling the listener.
     *
     * @return true if the engine may have received the attempt and has not ended it, so that it must be cancelled there
     */
    boolean cancel() {
        return markEnded() && mayHaveWritten();
    }

    /**
     * Sets the callback that runs when the attempt has ended.
     *
     * @param callback runs at least once after the end; immediately if the attempt has already ended, not null
     */
    void onEnd(Runnable callback) {
        onEnd = callback;
        if (ended.get()) {
            callback.run();
        }
    }

    /**
     * Fails the attempt with a timeout.
     *
     * @param detail the event that did not occur in time, not null
     * @return true if the attempt had not ended before
     */
    boolean timeOut(String detail) {
        return fail(new TargetFailure.TimedOut(detail));
    }

    /**
     * Returns whether the attempt has ended, after which the listener is not called again.
     *
     * @return true if the attempt has ended
     */
    boolean hasEnded() {
        return ended.get();
    }

    @Override
    public void onTcpConnectSuccess(InetSocketAddress _remoteAddress, Channel connection) {
        readController.attach(connection);
    }

    @Override
    public void onConnectionPooled(Channel connection) {
        readController.attach(connection);
    }

    @Override
    public void onConnectionOffer(Channel _connection) {
        readController.detach();
    }

    @Override
    public State onStatusReceived(HttpResponseStatus responseStatus) {
        readController.recordData();
        return super.onStatusReceived(responseStatus);
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        readController.recordData();
        byte[] bytes = part.getBodyPartBytes();
        if (status() != OK) {
            errorBody.write(bytes, 0, Math.min(bytes.length, MAX_ERROR_BODY_BYTES - errorBody.size()));
            return State.CONTINUE;
        }
        if (splitter.feed(bytes, this::handleLine)) {
            return State.CONTINUE;
        }
        fail(new TargetFailure.Broken("a stream line exceeds " + MAX_LINE_BYTES + " bytes"));
        return State.ABORT;
    }

    @Override
    public void onThrowable(Throwable error) {
        fail(toFailure(error));
    }

    @Override
    public Void onCompleted() {
        readController.detach();
        if (status() == OK) {
            fail(new TargetFailure.Broken("stream ended without its final line"));
            return null;
        }
        Optional<TargetFailure> refusal = RefusalBody.parse(contentType(), errorBody.toByteArray());
        fail(refusal.orElseGet(() -> new TargetFailure.Failed("status " + status())));
        return null;
    }

    /** Handles a line; returns false if the stream must be aborted. */
    private boolean handleLine(byte[] json) {
        Optional<StreamLine> parsed = TargetJson.read(json, LINE_READER);
        if (parsed.isEmpty()) {
            return !fail(new TargetFailure.Broken("malformed stream line"));
        }
        StreamLine line = parsed.get();
        if (!attemptId.equals(line.attemptId())) {
            return !fail(new TargetFailure.Broken("received a line of attempt " + line.attemptId()));
        }
        return handleMatchingLine(line);
    }

    private boolean handleMatchingLine(StreamLine line) {
        if (line.isChunk()) {
            if (!ended.get()) {
                listener.onChunk(new AnswerChunk(attemptId, line.sequence(), line.tokens(), line.text()));
            }
            return true;
        }
        if (line.isComplete()) {
            if (markEnded()) {
                listener.onComplete(line.usage(), line.finishReason());
            }
            return true;
        }
        if (line.failure() != null) {
            fail(new TargetFailure.Failed(line.failure()));
            return true;
        }
        return !fail(new TargetFailure.Broken("malformed stream line"));
    }

    private boolean fail(TargetFailure failure) {
        if (!markEnded()) {
            return false;
        }
        listener.onFailure(failure);
        return true;
    }

    private boolean markEnded() {
        if (!ended.compareAndSet(false, true)) {
            return false;
        }
        onEnd.run();
        return true;
    }
}
