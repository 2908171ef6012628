package org.dogwoodwinch.http;

import io.netty.channel.Channel;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.dogwoodwinch.request.AnswerSink;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.request.RequestHandle;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.TokenUsage;
import org.dogwoodwinch.time.TimeSource;

/**
 * Takes one request's answer to its caller's connection.
 *
 * <p>The sink is called from the targets' threads; every call becomes a task of the connection's event loop, also those
 * that already come on it, so that none overtakes another.
 *
 * <p>Two things would let an answer pile up on the heap: a caller that does not read, and an event loop that is slower
 * than the target's thread. Either pauses the target, the one at the connection's high-water mark, the other when too
 * many pieces wait to be written.
 */
final class CallerExchange implements AnswerSink {

    private static final int OK = 200;
    private static final int MOST_WAITING_CHUNKS = 64;

    private final Channel channel;
    private final CallerRequest request;
    private final AnswerWriter writer;
    private final ReplyContext reply;
    private final EdgeObserver observer;
    private final TimeSource time;
    private final Consumer<Boolean> whenEnded;
    private final AtomicInteger waitingChunks = new AtomicInteger();
    private final AtomicBoolean pausedByQueue = new AtomicBoolean();
    private volatile RequestHandle handle;
    private boolean ended;
    private boolean paused;
    private long lastTokenMillis = -1;

    /**
     * Creates an exchange.
     *
     * @param channel the caller's connection, not null
     * @param request the request, not null
     * @param writer writes a generated answer, not null
     * @param reply what the answer carries, not null
     * @param observer hears what becomes of it, not null
     * @param time measures how long it takes, not null
     * @param whenEnded hears on the event loop that the answer is written, and whether the connection must close
     */
    CallerExchange(
            Channel channel,
            CallerRequest request,
            AnswerWriter writer,
            ReplyContext reply,
            EdgeObserver observer,
            TimeSource time,
            Consumer<Boolean> whenEnded) {
        this.channel = Objects.requireNonNull(channel, "channel");
        this.request = Objects.requireNonNull(request, "request");
        this.writer = Objects.requireNonNull(writer, "writer");
        this.reply = Objects.requireNonNull(reply, "reply");
        this.observer = Objects.requireNonNull(observer, "observer");
        this.time = Objects.requireNonNull(time, "time");
        this.whenEnded = Objects.requireNonNull(whenEnded, "whenEnded");
    }

    /**
     * Takes the hold on the request; on the event loop, before any answer is written.
     *
     * @param newHandle the hold, not null
     */
    void attach(RequestHandle newHandle) {
        handle = newHandle;
    }

    /** The connection's room changed; on the event loop. */
    void writabilityChanged() {
        if (ended || handle == null) {
            return;
        }
        if (!channel.isWritable() && !paused) {
            paused = true;
            handle.pauseReading();
        } else if (channel.isWritable() && paused) {
            paused = false;
            if (!pausedByQueue.get()) {
                handle.resumeReading();
            }
        }
    }

    /** The caller left; on the event loop. */
    void callerLeft() {
        if (ended) {
            return;
        }
        ended = true;
        observer.onCallerLeft(request.requestId(), request.entry());
        if (handle != null) {
            handle.cancel();
        }
    }

    /**
     * Refuses on the edge's own account; on the event loop.
     *
     * @param refusal why, not null
     */
    void refuseNow(Refusal refusal) {
        if (ended) {
            return;
        }
        if (handle != null) {
            handle.cancel();
        }
        refuse(refusal);
    }

    @Override
    public void onChunk(AnswerChunk chunk) {
        boolean tooMany = waitingChunks.incrementAndGet() >= MOST_WAITING_CHUNKS;
        channel.eventLoop().execute(() -> write(chunk));
        RequestHandle current = handle;
        if (tooMany && current != null && pausedByQueue.compareAndSet(false, true)) {
            current.pauseReading();
            // Runs after every piece that waits now; being queued after the pause, it cannot overtake it.
            channel.eventLoop().execute(this::queueDrained);
        }
    }

    @Override
    public void onComplete(TokenUsage usage, String finishReason) {
        onLoop(() -> end(OK, usage.completionTokens(), () -> writer.complete(usage, finishReason)));
    }

    @Override
    public void onServiceAnswer(ServiceAnswer answer) {
        onLoop(() -> end(answer.status(), 0, () -> write(answer)));
    }

    @Override
    public void onRefused(Refusal refusal) {
        onLoop(() -> refuse(refusal));
    }

    private void onLoop(Runnable task) {
        channel.eventLoop().execute(() -> {
            if (!ended) {
                task.run();
            }
        });
    }

    private void queueDrained() {
        pausedByQueue.set(false);
        if (!ended && !paused) {
            handle.resumeReading();
        }
    }

    private void write(AnswerChunk chunk) {
        waitingChunks.decrementAndGet();
        if (ended) {
            return;
        }
        writer.chunk(chunk);
        observeToken();
        writabilityChanged();
    }

    private void observeToken() {
        long nowMillis = time.monotonicMillis();
        if (lastTokenMillis < 0) {
            observer.onFirstToken(request.requestId(), nowMillis - request.arrivedMillis());
        } else {
            observer.onNextToken(nowMillis - lastTokenMillis);
        }
        lastTokenMillis = nowMillis;
    }

    private void write(ServiceAnswer answer) {
        byte[] body = answer.body().toByteArray();
        reply.writeWhole(channel, Replies.of(answer.status(), answer.contentType(), body));
    }

    /** Counts before it writes: whoever has read an answer finds it in the counters. */
    private void refuse(Refusal refusal) {
        ended = true;
        boolean midStream = writer.hasStarted();
        observer.onRefused(request.requestId(), request.entry(), refusal, midStream);
        writer.refuse(refusal);
        whenEnded.accept(midStream || !reply.keepAlive());
    }

    private void end(int status, long tokens, Runnable write) {
        ended = true;
        long elapsedMillis = time.monotonicMillis() - request.arrivedMillis();
        observer.onAnswered(request.requestId(), request.entry(), status, tokens, elapsedMillis);
        write.run();
        whenEnded.accept(!reply.keepAlive());
    }
}
