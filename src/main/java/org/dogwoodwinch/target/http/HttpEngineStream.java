package org.dogwoodwinch.target.http;

import java.util.Objects;
import org.asynchttpclient.ListenableFuture;
import org.dogwoodwinch.target.AnswerStream;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;

/** The handle on a stream that runs on an engine. */
final class HttpEngineStream implements AnswerStream {

    private final EngineStreamHandler handler;
    private final ListenableFuture<Void> exchange;
    private final Runnable cancelOnEngine;
    private final TimeSource time;
    private final long silenceMillis;
    private volatile Cancellable silenceTimer = () -> {};

    /**
     * Creates a handle and starts to watch for silence.
     *
     * @param handler reads the stream, not null
     * @param exchange the HTTP exchange, not null
     * @param cancelOnEngine tells the engine to cancel, not null
     * @param time runs the timer, not null
     * @param silenceMillis how long the engine may be silent, in milliseconds
     */
    HttpEngineStream(
            EngineStreamHandler handler,
            ListenableFuture<Void> exchange,
            Runnable cancelOnEngine,
            TimeSource time,
            long silenceMillis) {
        this.handler = Objects.requireNonNull(handler, "handler");
        this.exchange = Objects.requireNonNull(exchange, "exchange");
        this.cancelOnEngine = Objects.requireNonNull(cancelOnEngine, "cancelOnEngine");
        this.time = Objects.requireNonNull(time, "time");
        this.silenceMillis = silenceMillis;
    }

    /** Watches for silence: a stopped engine process keeps its connection open, and no error would ever come. */
    void scheduleSilenceCheck() {
        silenceTimer = time.schedule(silenceMillis, this::checkSilence);
        // A timer that outlives its stream holds the whole request on the heap for as long as it has left to run.
        handler.onEnd(this::cancelSilenceTimer);
    }

    @Override
    public void pauseReading() {
        handler.readController().pause();
    }

    @Override
    public void resumeReading() {
        handler.readController().resume();
    }

    @Override
    public void cancel() {
        silenceTimer.cancel();
        boolean mustCancelOnEngine = handler.cancel();
        exchange.cancel(true);
        if (mustCancelOnEngine) {
            cancelOnEngine.run();
        }
    }

    /** Closes the connection; the engine is not told to cancel and keeps the stream for one that joins it. */
    @Override
    public void detach() {
        silenceTimer.cancel();
        handler.cancel();
        exchange.cancel(true);
    }

    private void cancelSilenceTimer() {
        silenceTimer.cancel();
    }

    private void checkSilence() {
        if (handler.hasEnded()) {
            return;
        }
        if (!handler.readController().wasSilent()) {
            scheduleSilenceCheck();
            return;
        }
        if (handler.timeOut("nothing came for " + silenceMillis + " ms")) {
            exchange.cancel(true);
        }
    }
}
