package org.dogwoodwinch.standin.http;

import java.util.Objects;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.AnswerListener;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;
import org.dogwoodwinch.target.http.StreamLine;
import org.dogwoodwinch.target.http.TargetJson;
import org.dogwoodwinch.time.TimeSource;

/** Writes one attempt's answer as lines; an empty line now and then shows that a waiting attempt is not forgotten. */
final class EngineStream implements AnswerListener {

    private static final long HEARTBEAT_MILLIS = 2_000;
    private static final byte[] HEARTBEAT = {};

    private final String attemptId;
    private final StandInReply reply;
    private final TimeSource time;
    private boolean stopped;

    /**
     * Creates a stream.
     *
     * @param attemptId the attempt, not null
     * @param reply takes the lines, not null
     * @param time runs the heartbeats, not null
     */
    EngineStream(String attemptId, StandInReply reply, TimeSource time) {
        this.attemptId = Objects.requireNonNull(attemptId, "attemptId");
        this.reply = Objects.requireNonNull(reply, "reply");
        this.time = Objects.requireNonNull(time, "time");
    }

    /** Begins to send heartbeats. */
    void startHeartbeats() {
        time.schedule(HEARTBEAT_MILLIS, this::heartbeat);
    }

    /**
     * Writes nothing more.
     *
     * @return true where the answer had not ended
     */
    synchronized boolean stop() {
        boolean wasRunning = !stopped;
        stopped = true;
        return wasRunning;
    }

    @Override
    public synchronized void onChunk(AnswerChunk chunk) {
        if (!stopped) {
            reply.line(TargetJson.write(StreamLine.chunk(chunk)));
        }
    }

    @Override
    public synchronized void onComplete(TokenUsage usage, String finishReason) {
        if (stop()) {
            reply.line(TargetJson.write(StreamLine.complete(attemptId, usage, finishReason)));
            reply.end();
        }
    }

    @Override
    public synchronized void onFailure(TargetFailure failure) {
        if (!stop()) {
            return;
        }
        if (failure instanceof TargetFailure.Failed && reply.isStreaming()) {
            reply.line(TargetJson.write(StreamLine.failed(attemptId, failure.detail())));
            reply.end();
        } else if (failure.provesNotRun() && !reply.isStreaming()) {
            reply.refuse(EngineService.refusalOf(failure));
        } else {
            reply.cut();
        }
    }

    private synchronized void heartbeat() {
        if (!stopped) {
            reply.line(HEARTBEAT);
            startHeartbeats();
        }
    }
}
