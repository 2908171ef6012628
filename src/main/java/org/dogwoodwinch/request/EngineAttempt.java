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
 * <p>All methods run on the request's {@link SerialQueue}. Each connection has a reader of its own; what a reader brings
 * after it was replaced is dropped and counted.
 */
final class EngineAttempt {

    /** Hears what becomes of the attempt. */
    interface Events {

        void onDelivered(AnswerChunk chunk);

        void onWhole(Usage usage, String finishReason);

        void onAttemptFailed(TargetFailure failure, boolean crashed);

        void onDiverged();
    }

    /** How many times as long as expected the first token may take before it counts as late. */
    private static final int FIRST_TOKEN_LATENESS = 3;

    private final RequestContext context;
    private final SerialQueue queue;
    private final CallerRequest request;
    private final AnswerProgress progress;
    private final Target target;
    private final StreamPointer pointer;
    private final boolean shared;
    private final long firstTokenMillis;
    private final Events events;

    private Reader reader;
    private boolean reading = true;
    private boolean over;
    private boolean progressed = true;
    private boolean firstChunkSeen;
    private long startedMillis;
    private long lastHeardMillis;
    private Cancellable stallTimer = () -> {};

    /**
     * Creates an attempt.
     *
     * @param shared whether the stream is another request's, which this one must not cancel
     * @param firstTokenMillis when the first token is expected, in milliseconds from the send: a long queue is no stall
     */
    EngineAttempt(
            RequestContext context,
            SerialQueue queue,
            CallerRequest request,
            AnswerProgress progress,
            Target target,
            StreamPointer pointer,
            boolean shared,
            long firstTokenMillis,
            Events events) {
        this.context = context;
        this.queue = queue;
        this.request = request;
        this.progress = progress;
        this.target = target;
        this.pointer = pointer;
        this.shared = shared;
        this.firstTokenMillis = firstTokenMillis;
        this.events = events;
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
        Reader next = begin();
        next.stream = engine().generate(call, next);
        next.pauseIfWanted();
    }

    /** Joins a stream that another request started, from its first token. */
    void join() {
        Reader next = begin();
        next.stream = engine().resume(attemptId(), progress.nextWanted(), next);
        next.pauseIfWanted();
    }

    void setReading(boolean wanted) {
        reading = wanted;
        lastHeardMillis = context.nowMillis();
        if (reader != null) {
            reader.applyReading();
        }
    }

    /** Gives the attempt up; its engine stops it unless the stream is shared. */
    void cancel() {
        end();
        if (!shared) {
            context.router().onCancelled(attemptId());
        }
        reader.stop(!shared);
    }

    /** Stops listening and lets the engine finish, so that a resend can join the stream. */
    void detach() {
        end();
        if (!shared) {
            context.router().onCancelled(attemptId());
        }
        reader.stop(false);
    }

    private EngineClient engine() {
        return context.clients().engine(target);
    }

    private Reader begin() {
        startedMillis = context.nowMillis();
        lastHeardMillis = startedMillis;
        reader = new Reader(null);
        armStallTimer();
        return reader;
    }

    private void armStallTimer() {
        long waitMillis = allowedMillis() - (context.nowMillis() - lastHeardMillis);
        stallTimer = context.time().schedule(Math.max(1, waitMillis), () -> queue.execute(this::checkStall));
    }

    private long allowedMillis() {
        long queueMillis = firstChunkSeen ? 0 : FIRST_TOKEN_LATENESS * firstTokenMillis;
        return context.settings().stallMillis() + queueMillis;
    }

    private void checkStall() {
        if (over) {
            return;
        }
        if (!reading) {
            lastHeardMillis = context.nowMillis();
        }
        if (context.nowMillis() - lastHeardMillis < allowedMillis()) {
            armStallTimer();
            return;
        }
        Reader stalled = reader;
        stalled.stop(false);
        onFailure(
                stalled,
                new TargetFailure.TimedOut(
                        "nothing came for " + context.settings().stallMillis() + " ms"));
        if (!over) {
            armStallTimer();
        }
    }

    private void onChunk(Reader from, AnswerChunk chunk) {
        if (isLate(from) || !context.policies().matcher().matches(attemptId(), chunk)) {
            context.observer().onLateAnswer(request);
            return;
        }
        hear();
        AnswerProgress.Verdict verdict = progress.accept(chunk);
        if (verdict == AnswerProgress.Verdict.DELIVER) {
            progressed = true;
            events.onDelivered(progress.pending());
        } else if (verdict == AnswerProgress.Verdict.GAP) {
            from.stop(false);
            onFailure(from, new TargetFailure.Broken("token " + progress.nextWanted() + " is missing"));
        } else if (verdict == AnswerProgress.Verdict.DIVERGED) {
            cancel();
            events.onDiverged();
        }
    }

    private void hear() {
        lastHeardMillis = context.nowMillis();
        if (!firstChunkSeen) {
            firstChunkSeen = true;
            if (!shared) {
                context.router().onFirstToken(attemptId(), lastHeardMillis - startedMillis);
            }
        }
    }

    private void onComplete(Reader from, Usage usage, String finishReason) {
        if (isLate(from)) {
            context.observer().onLateAnswer(request);
            return;
        }
        if (usage.completionTokens() > progress.nextWanted()) {
            // The engine generated more than arrived: a cut answer must not pass for whole.
            onFailure(from, new TargetFailure.Broken("the end came before token " + progress.nextWanted()));
            return;
        }
        end();
        if (progress.replaying()) {
            events.onDiverged();
            return;
        }
        if (!shared) {
            context.router().onCompleted(attemptId(), usage);
        }
        events.onWhole(usage, finishReason);
    }

    private void onFailure(Reader from, TargetFailure failure) {
        if (isLate(from)) {
            context.observer().onLateAnswer(request);
            return;
        }
        if (from.cause != null && !isCut(failure)) {
            // The stream could not be joined: what had cut it decides, for the request had been sent before.
            fail(from.cause, crashShown(failure));
            return;
        }
        if (isCut(failure) && progressed) {
            joinAgain(failure);
            return;
        }
        fail(failure, false);
    }

    private static boolean isCut(TargetFailure failure) {
        return failure instanceof TargetFailure.Broken || failure instanceof TargetFailure.TimedOut;
    }

    /** An engine that is there no more, or is there without the stream, has crashed since. */
    private static boolean crashShown(TargetFailure failure) {
        return failure instanceof TargetFailure.NotSent
                || (failure instanceof TargetFailure.Refused refused && !refused.overloaded() && !refused.leaving());
    }

    /** Without progress since the last join there is no further one, or a stream that breaks at once is joined forever. */
    private void joinAgain(TargetFailure cause) {
        progressed = false;
        lastHeardMillis = context.nowMillis();
        context.observer().onRetry(request, RetryReason.STREAM_RESUMED);
        Reader next = new Reader(cause);
        reader = next;
        next.stream = engine().resume(attemptId(), progress.nextWanted(), next);
        next.pauseIfWanted();
    }

    private void fail(TargetFailure failure, boolean crashed) {
        end();
        if (!shared) {
            context.router().onFailed(attemptId(), failure);
        }
        events.onAttemptFailed(failure, crashed);
    }

    private boolean isLate(Reader from) {
        return over || from != reader;
    }

    private void end() {
        over = true;
        stallTimer.cancel();
    }

    /** One connection's listener. */
    private final class Reader implements AnswerListener {

        private final TargetFailure cause;
        private AnswerStream stream;

        /** Creates a reader; {@code cause} is what cut the connection before, or null for the first. */
        Reader(TargetFailure cause) {
            this.cause = cause;
        }

        void pauseIfWanted() {
            if (!reading) {
                applyReading();
            }
        }

        void applyReading() {
            if (stream == null || over) {
                return;
            }
            if (reading) {
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
            queue.execute(() -> EngineAttempt.this.onChunk(this, chunk));
        }

        @Override
        public void onComplete(Usage usage, String finishReason) {
            queue.execute(() -> EngineAttempt.this.onComplete(this, usage, finishReason));
        }

        @Override
        public void onFailure(TargetFailure failure) {
            queue.execute(() -> EngineAttempt.this.onFailure(this, failure));
        }
    }
}
