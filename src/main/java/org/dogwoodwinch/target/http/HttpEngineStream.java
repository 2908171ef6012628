package org.dogwoodwinch.target.http;

import java.util.Objects;
import org.asynchttpclient.ListenableFuture;
import org.dogwoodwinch.target.AnswerStream;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;

/** A running stream of an engine, with a timeout for silence. */
final class HttpEngineStream implements AnswerStream {

    private final EngineStreamHandler handler;
    private final ListenableFuture<Void> exchange;
    private final Runnable cancelOnEngine;
    private final TimeSource time;
    private final long silenceMillis;
    private volatile Cancellable silenceTimer = () -> {};

    /**
     * Creates a stream; {@link #scheduleSilenceCheck()} starts its silence timer.
     *
     * @param handler reads the stream, not null
     * @param exchange the HTTP exchange, not null
     * @param cancelOnEngine sends the cancellation to the engine, not null
     * @param time runs the timer, not null
     * @param silenceMillis the maximum time without data, in milliseconds
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

    /** Schedules the silence check: a stopped engine process keeps its connection open and causes no error. */
    void scheduleSilenceCheck() {
        silenceTimer = time.schedule(silenceMillis, this::checkSilence);
        // A timer that outlives its stream would keep the whole request on the heap until it fires.
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

    /** Closes the connection without cancelling on the engine, which keeps the stream so that it can be resumed. */
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
        if (handler.timeOut("no data received for " + silenceMillis + " ms")) {
            exchange.cancel(true);
        }
    }
}
