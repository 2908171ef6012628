package org.dogwoodwinch.request;

import org.dogwoodwinch.routing.RouteQuery;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.AnswerListener;
import org.dogwoodwinch.target.AnswerStream;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.GenerateCall;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.Usage;
import org.dogwoodwinch.time.Cancellable;

/**
 * One attempt on one engine: reads its stream, joins it again where the connection breaks, and tells a whole answer from
 * a cut one.
 *
 * <p>All methods run on the request's {@link SerialExecutor}. Each connection has a reader of its own; what a reader brings
 * after it was replaced is dropped and counted.
 */
final class EngineAttempt {

    /** Hears what becomes of the attempt. */
    interface Listener {

        void onDelivered(AnswerChunk chunk);

        void onCompleted(Usage usage, String finishReason);

        void onAttemptFailed(TargetFailure failure, boolean crashed);

        void onDiverged();
    }

    /** How many times as long as expected the first token may take before it counts as late. */
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
    private boolean progressedSinceConnect = true;
    private boolean firstChunkReceived;
    private long startedMillis;
    private long lastReceivedMillis;
    private Cancellable stallTimer = () -> {};

    /**
     * Creates an attempt.
     *
     * @param sharedStream whether the stream is another request's, which this one must not cancel
     * @param expectedFirstTokenMillis when the first token is expected, in milliseconds from the send: a long queue is no stall
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

    /** Sends the attempt. */
    void start(GenerateCall call, RouteQuery query) {
        context.router().onSent(attemptId(), target, query);
        Reader next = openReader();
        next.stream = engine().generate(call, next);
        next.pauseIfDisabled();
    }

    /** Joins a stream that another request started, from its first token. */
    void join() {
        Reader next = openReader();
        next.stream = engine().resume(attemptId(), progress.nextExpectedSequence(), next);
        next.pauseIfDisabled();
    }

    void setReadingEnabled(boolean enabled) {
        readingEnabled = enabled;
        lastReceivedMillis = context.nowMillis();
        if (reader != null) {
            reader.applyReadingState();
        }
    }

    /** Gives the attempt up; its engine stops it unless the stream is shared. */
    void cancel() {
        finish();
        if (!sharedStream) {
            context.router().onCancelled(attemptId());
        }
        reader.stop(!sharedStream);
    }

    /** Stops listening and lets the engine finish, so that a resend can join the stream. */
    void detach() {
        finish();
        if (!sharedStream) {
            context.router().onCancelled(attemptId());
        }
        reader.stop(false);
    }

    private EngineClient engine() {
        return context.clients().engine(target);
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
        return context.settings().stallMillis() + queueMillis;
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
                        "nothing came for " + context.settings().stallMillis() + " ms"));
        if (!finished) {
            armStallTimer();
        }
    }

    private void onChunk(Reader source, AnswerChunk chunk) {
        if (isStale(source) || !context.policies().chunkMatcher().matches(attemptId(), chunk)) {
            context.observer().onLateAnswer(request);
            return;
        }
        markReceived();
        AnswerProgress.Verdict verdict = progress.accept(chunk);
        if (verdict == AnswerProgress.Verdict.DELIVER) {
            progressedSinceConnect = true;
            listener.onDelivered(progress.pendingChunk());
        } else if (verdict == AnswerProgress.Verdict.GAP) {
            source.stop(false);
            onFailure(source, new TargetFailure.Broken("token " + progress.nextExpectedSequence() + " is missing"));
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

    private void onComplete(Reader source, Usage usage, String finishReason) {
        if (isStale(source)) {
            context.observer().onLateAnswer(request);
            return;
        }
        if (usage.completionTokens() > progress.nextExpectedSequence()) {
            // The engine generated more than arrived: a cut answer must not pass for whole.
            onFailure(source, new TargetFailure.Broken("the end came before token " + progress.nextExpectedSequence()));
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
            context.observer().onLateAnswer(request);
            return;
        }
        if (source.interruption != null && !isInterruption(failure)) {
            // The stream could not be joined: what had cut it decides, for the request had been sent before.
            fail(source.interruption, indicatesCrash(failure));
            return;
        }
        if (isInterruption(failure) && progressedSinceConnect) {
            resumeStream(failure);
            return;
        }
        fail(failure, false);
    }

    private static boolean isInterruption(TargetFailure failure) {
        return failure instanceof TargetFailure.Broken || failure instanceof TargetFailure.TimedOut;
    }

    /** An engine that is there no more, or is there without the stream, has crashed since. */
    private static boolean indicatesCrash(TargetFailure failure) {
        return failure instanceof TargetFailure.NotSent
                || (failure instanceof TargetFailure.Refused refused && !refused.overloaded() && !refused.leaving());
    }

    /** Without progress since the last join there is no further one, or a stream that breaks at once is joined forever. */
    private void resumeStream(TargetFailure interruption) {
        progressedSinceConnect = false;
        lastReceivedMillis = context.nowMillis();
        context.observer().onRetry(request, RetryReason.STREAM_RESUMED);
        Reader next = new Reader(interruption);
        reader = next;
        next.stream = engine().resume(attemptId(), progress.nextExpectedSequence(), next);
        next.pauseIfDisabled();
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

    /** One connection's listener. */
    private final class Reader implements AnswerListener {

        private final TargetFailure interruption;
        private AnswerStream stream;

        /** Creates a reader; {@code cause} is what cut the connection before, or null for the first. */
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

        void stop(boolean cancelled) {
            if (stream == null) {
                return;
            }
            if (cancelled) {
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
        public void onComplete(Usage usage, String finishReason) {
            executor.execute(() -> EngineAttempt.this.onComplete(this, usage, finishReason));
        }

        @Override
        public void onFailure(TargetFailure failure) {
            executor.execute(() -> EngineAttempt.this.onFailure(this, failure));
        }
    }
}
