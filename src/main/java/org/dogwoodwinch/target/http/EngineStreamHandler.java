package org.dogwoodwinch.target.http;

import com.fasterxml.jackson.databind.ObjectReader;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.AnswerListener;
import org.dogwoodwinch.target.TargetFailure;

/**
 * Reads one attempt's stream of lines.
 *
 * <p>The answer is whole only when the engine's own last line says so; the end of the HTTP body alone is a cut answer.
 * A line of another attempt breaks the stream, so that an engine or a proxy that mixes answers up is never believed.
 */
final class EngineStreamHandler implements AsyncHandler<Void> {

    private static final ObjectReader LINES = TargetJson.reader(StreamLine.class);
    private static final int OK = 200;
    private static final int MAX_LINE_BYTES = 1 << 20;
    private static final int MAX_REFUSAL_BYTES = 1 << 16;

    private final String attemptId;
    private final AnswerListener listener;
    private final SendProgress progress = new SendProgress();
    private final AtomicBoolean ended = new AtomicBoolean();
    private final LineSplitter splitter = new LineSplitter(MAX_LINE_BYTES);
    private final ByteArrayOutputStream refusal = new ByteArrayOutputStream();
    private final PausableReading reading = new PausableReading();
    private volatile Runnable whenEnded = () -> {};
    private int status;
    private String contentType = "";

    /**
     * Creates a handler.
     *
     * @param attemptId the attempt whose lines are taken, not null
     * @param listener hears the answer, not null
     */
    EngineStreamHandler(String attemptId, AnswerListener listener) {
        this.attemptId = Objects.requireNonNull(attemptId, "attemptId");
        this.listener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Returns the switch that stops and resumes reading.
     *
     * @return the switch
     */
    PausableReading reading() {
        return reading;
    }

    /**
     * Silences the listener.
     *
     * @return true where the engine may know of the attempt and has not ended it, so that it must be told
     */
    boolean cancel() {
        return end() && progress.maybeWritten();
    }

    /**
     * Sets what is done when the listener has heard its last.
     *
     * @param newWhenEnded runs at least once after the end, at once where that has come, not null
     */
    void whenEnded(Runnable newWhenEnded) {
        whenEnded = newWhenEnded;
        if (ended.get()) {
            newWhenEnded.run();
        }
    }

    /**
     * Ends the attempt as silent for too long.
     *
     * @param detail what was waited for, not null
     * @return true where it had not ended before
     */
    boolean timeOut(String detail) {
        return fail(new TargetFailure.TimedOut(detail));
    }

    /**
     * Says whether the listener has heard its last.
     *
     * @return true after the end
     */
    boolean hasEnded() {
        return ended.get();
    }

    @Override
    public void onTcpConnectSuccess(InetSocketAddress _remoteAddress, Channel connection) {
        reading.attach(connection);
    }

    @Override
    public void onConnectionPooled(Channel connection) {
        reading.attach(connection);
    }

    @Override
    public void onConnectionOffer(Channel _connection) {
        reading.detach();
    }

    @Override
    public void onRequestSend(NettyRequest _request) {
        progress.beforeWrite();
    }

    @Override
    public State onStatusReceived(HttpResponseStatus responseStatus) {
        reading.touch();
        status = responseStatus.getStatusCode();
        return State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
        contentType = Objects.requireNonNullElse(headers.get(HttpHeaderNames.CONTENT_TYPE), "");
        return State.CONTINUE;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
        reading.touch();
        byte[] bytes = part.getBodyPartBytes();
        if (status != OK) {
            refusal.write(bytes, 0, Math.min(bytes.length, MAX_REFUSAL_BYTES - refusal.size()));
            return State.CONTINUE;
        }
        if (splitter.feed(bytes, this::takeLine)) {
            return State.CONTINUE;
        }
        fail(new TargetFailure.Broken("a line is longer than " + MAX_LINE_BYTES + " bytes"));
        return State.ABORT;
    }

    @Override
    public void onThrowable(Throwable error) {
        fail(progress.failureOf(error));
    }

    @Override
    public Void onCompleted() {
        reading.detach();
        if (status == OK) {
            fail(new TargetFailure.Broken("the answer was cut"));
            return null;
        }
        Optional<TargetFailure> refused = RefusalBody.parse(contentType, refusal.toByteArray());
        fail(refused.orElseGet(() -> new TargetFailure.Failed("status " + status)));
        return null;
    }

    /** Returns false where the stream is broken. */
    private boolean takeLine(byte[] json) {
        Optional<StreamLine> parsed = TargetJson.read(json, LINES);
        if (parsed.isEmpty()) {
            return !fail(new TargetFailure.Broken("malformed line"));
        }
        StreamLine line = parsed.get();
        if (!attemptId.equals(line.attemptId())) {
            return !fail(new TargetFailure.Broken("a line of attempt " + line.attemptId()));
        }
        return takeOwnLine(line);
    }

    private boolean takeOwnLine(StreamLine line) {
        if (line.isChunk()) {
            if (!ended.get()) {
                listener.onChunk(new AnswerChunk(attemptId, line.sequence(), line.tokens(), line.text()));
            }
            return true;
        }
        if (line.isComplete()) {
            if (end()) {
                listener.onComplete(line.usage(), line.finishReason());
            }
            return true;
        }
        if (line.failure() != null) {
            fail(new TargetFailure.Failed(line.failure()));
            return true;
        }
        return !fail(new TargetFailure.Broken("malformed line"));
    }

    private boolean fail(TargetFailure failure) {
        if (!end()) {
            return false;
        }
        listener.onFailure(failure);
        return true;
    }

    private boolean end() {
        if (!ended.compareAndSet(false, true)) {
            return false;
        }
        whenEnded.run();
        return true;
    }
}
