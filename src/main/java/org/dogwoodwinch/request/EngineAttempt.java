package org.dogwoodwinch.request;

import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.AnswerListener;
import org.dogwoodwinch.target.AnswerStream;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.GenerateCall;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;
import org.dogwoodwinch.time.Cancellable;

/**
 * One attempt on one engine. It reads the engine's stream, resumes the stream after a broken connection, and detects
 * truncated answers.
 *
 * <p>All methods run on the request's {@link SerialExecutor}. Each connection has its own reader; events of a reader
 * that has been replaced are dropped and counted.
 */
final class EngineAttempt {

    /** Receives the chunks and the result of the attempt. */
    interface Listener {

        void onDelivered(AnswerChunk chunk);

        void onCompleted(TokenUsage usage, String finishReason);

        void onAttemptFailed(TargetFailure failure, boolean crashed);

        void onDiverged();
    }

    /** The multiple of the expected time to the first token that is tolerated in addition to the stall timeout. */
    private static final int FIRST_TOKEN_TOLERANCE_FACTOR = 3;

    private final RequestContext context;
    private final SerialExecutor executor;
    private final CallerRequest request;
    private final AnswerProgress progress;
    private final Target target;
    private final StreamPointer pointer;
    private final boolean sharedStream;
    private final long expectedFirstTokenMillis;
    private final Listener listener;

    private Reader reader;
    private boolean readingEnabled = true;
    private boolean finished;
    private boolean progressedSinceResume = true;
    private boolean firstChunkReceived;
    private long startedMillis;
    private long lastReceivedMillis;
    private Cancellable stallTimer = () -> {};

    /**
     * Creates an attempt.
     *
     * @param sharedStream whether the stream belongs to another request, so that this attempt must not cancel it
     * @param expectedFirstTokenMillis the expected time from the send to the first token, in milliseconds; time spent
     *     in a long queue does not count as a stall
     */
    EngineAttempt(
            RequestContext context,
            SerialExecutor executor,
            CallerRequest request,
            AnswerProgress progress,
            Target target,
            StreamPointer pointer,
            boolean sharedStream,
            long expectedFirstTokenMillis,
            Listener listener) {
        this.context = context;
        this.executor = executor;
        this.request = request;
        this.progress = progress;
        this.target = target;
        this.pointer = pointer;
        this.sharedStream = sharedStream;
        this.expectedFirstTokenMillis = expectedFirstTokenMillis;
        this.listener = listener;
    }

    Target target() {
        return target;
    }

    String attemptId() {
        return pointer.attemptId();
    }

    /** Sends the call to the engine. */
    void start(GenerateCall call, RouteQuery query) {
        context.router().onSent(attemptId(), target, query);
        Reader newReader = openReader();
        newReader.stream = engine().generate(call, newReader);
        newReader.pauseIfDisabled();
    }

    /** Joins a stream that another request started, at the next token that was not delivered yet. */
    void join() {
        Reader newReader = openReader();
        newReader.stream = engine().resume(attemptId(), progress.nextExpectedSequence(), newReader);
        newReader.pauseIfDisabled();
    }

    void setReadingEnabled(boolean enabled) {
        readingEnabled = enabled;
        lastReceivedMillis = context.nowMillis();
        if (reader != null) {
            reader.applyReadingState();
        }
    }

    /** Ends the attempt and cancels the generation on the engine unless the stream is shared. */
    void cancel() {
        finish();
        if (!sharedStream) {
            context.router().onCancelled(attemptId());
        }
        reader.stop(!sharedStream);
    }

    /** Ends the attempt and lets the engine finish, so that a resend can join the stream. */
    void detach() {
        finish();
        if (!sharedStream) {
            context.router().onCancelled(attemptId());
        }
        reader.stop(false);
    }

    private EngineClient engine() {
        return context.clients().engineClient(target);
    }

    private Reader openReader() {
        startedMillis = context.nowMillis();
        lastReceivedMillis = startedMillis;
        reader = new Reader(null);
        armStallTimer();
        return reader;
    }

    private void armStallTimer() {
        long waitMillis = allowedSilenceMillis() - (context.nowMillis() - lastReceivedMillis);
        stallTimer = context.time().schedule(Math.max(1, waitMillis), () -> executor.execute(this::checkStall));
    }

    private long allowedSilenceMillis() {
        long queueMillis = firstChunkReceived ? 0 : FIRST_TOKEN_TOLERANCE_FACTOR * expectedFirstTokenMillis;
        return context.settings().stallTimeoutMillis() + queueMillis;
    }

    private void checkStall() {
        if (finished) {
            return;
        }
        if (!readingEnabled) {
            lastReceivedMillis = context.nowMillis();
        }
        if (context.nowMillis() - lastReceivedMillis < allowedSilenceMillis()) {
            armStallTimer();
            return;
        }
        Reader stalled = reader;
        stalled.stop(false);
        onFailure(
                stalled,
                new TargetFailure.TimedOut(
                        "engine sent nothing for at least " + context.settings().stallTimeoutMillis() + " ms"));
        if (!finished) {
            armStallTimer();
        }
    }

    private void onChunk(Reader source, AnswerChunk chunk) {
        if (isStale(source) || !context.policies().chunkMatcher().matches(attemptId(), chunk)) {
            context.observer().onLateAnswerDropped(request);
            return;
        }
        markReceived();
        AnswerProgress.Verdict verdict = progress.accept(chunk);
        if (verdict == AnswerProgress.Verdict.DELIVER) {
            progressedSinceResume = true;
            listener.onDelivered(progress.pendingChunk());
        } else if (verdict == AnswerProgress.Verdict.GAP) {
            source.stop(false);
            onFailure(
                    source,
                    new TargetFailure.Broken(
                            "stream has a gap: token " + progress.nextExpectedSequence() + " is missing"));
        } else if (verdict == AnswerProgress.Verdict.DIVERGED) {
            cancel();
            listener.onDiverged();
        }
    }

    private void markReceived() {
        lastReceivedMillis = context.nowMillis();
        if (!firstChunkReceived) {
            firstChunkReceived = true;
            if (!sharedStream) {
                context.router().onFirstToken(attemptId(), lastReceivedMillis - startedMillis);
            }
        }
    }

    private void onComplete(Reader source, TokenUsage usage, String finishReason) {
        if (isStale(source)) {
            context.observer().onLateAnswerDropped(request);
            return;
        }
        if (usage.completionTokens() > progress.nextExpectedSequence()) {
            // The engine generated more tokens than were received: the answer is truncated and must not count as
            // complete.
            onFailure(source, new TargetFailure.Broken("stream ended before token " + progress.nextExpectedSequence()));
            return;
        }
        finish();
        if (progress.isReplaying()) {
            listener.onDiverged();
            return;
        }
        if (!sharedStream) {
            context.router().onCompleted(attemptId(), usage);
        }
        listener.onCompleted(usage, finishReason);
    }

    private void onFailure(Reader source, TargetFailure failure) {
        if (isStale(source)) {
            context.observer().onLateAnswerDropped(request);
            return;
        }
        if (source.interruption != null && !isInterruption(failure)) {
            // The stream could not be resumed. The failure that interrupted it is reported, because the request had
            // already been sent by then.
            fail(source.interruption, indicatesCrash(failure));
            return;
        }
        if (isInterruption(failure) && progressedSinceResume) {
            resumeStream(failure);
            return;
        }
        fail(failure, false);
    }

    private static boolean isInterruption(TargetFailure failure) {
        return failure instanceof TargetFailure.Broken || failure instanceof TargetFailure.TimedOut;
    }

    /** Returns whether the resume failed because the engine is gone or has lost the stream, which indicates a crash. */
    private static boolean indicatesCrash(TargetFailure failure) {
        return failure instanceof TargetFailure.NotSent
                || (failure instanceof TargetFailure.Refused refused && !refused.overloaded() && !refused.leaving());
    }

    /**
     * Resumes the stream after an interruption. Callers check that tokens arrived since the previous resume: otherwise
     * a stream that always breaks at once would be resumed forever.
     */
    private void resumeStream(TargetFailure interruption) {
        progressedSinceResume = false;
        lastReceivedMillis = context.nowMillis();
        context.observer().onRetry(request, RetryReason.STREAM_RESUMED);
        Reader newReader = new Reader(interruption);
        reader = newReader;
        newReader.stream = engine().resume(attemptId(), progress.nextExpectedSequence(), newReader);
        newReader.pauseIfDisabled();
    }

    private void fail(TargetFailure failure, boolean crashed) {
        finish();
        if (!sharedStream) {
            context.router().onFailed(attemptId(), failure);
        }
        listener.onAttemptFailed(failure, crashed);
    }

    private boolean isStale(Reader source) {
        return finished || source != reader;
    }

    private void finish() {
        finished = true;
        stallTimer.cancel();
    }

    /** Listens to one connection. */
    private final class Reader implements AnswerListener {

        private final TargetFailure interruption;
        private AnswerStream stream;

        /**
         * Creates a reader; {@code interruption} is the failure of the previous connection, or null for the first one.
         */
        Reader(TargetFailure interruption) {
            this.interruption = interruption;
        }

        void pauseIfDisabled() {
            if (!readingEnabled) {
                applyReadingState();
            }
        }

        void applyReadingState() {
            if (stream == null || finished) {
                return;
            }
            if (readingEnabled) {
                stream.resumeReading();
            } else {
                stream.pauseReading();
            }
        }

        void stop(boolean cancelOnTarget) {
            if (stream == null) {
                return;
            }
            if (cancelOnTarget) {
                stream.cancel();
            } else {
                stream.detach();
            }
        }

        @Override
        public void onChunk(AnswerChunk chunk) {
            executor.execute(() -> EngineAttempt.this.onChunk(this, chunk));
        }

        @Override
        public void onComplete(TokenUsage usage, String finishReason) {
            executor.execute(() -> EngineAttempt.this.onComplete(this, usage, finishReason));
        }

        @Override
        public void onFailure(TargetFailure failure) {
            executor.execute(() -> EngineAttempt.this.onFailure(this, failure));
        }
    }
}
