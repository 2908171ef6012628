package org.dogwoodwinch.relay;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.time.Cancellable;
import org.dogwoodwinch.time.TimeSource;

/** A control call and its outcome. Confined to one event loop. */
final class ControlExchange {

    private final ControlRequest request;
    private final AnswerCheck check;
    private final CompletableFuture<ControlReply> reply = new CompletableFuture<>();
    private final Cancellable timeout;
    private Runnable closeConnection = () -> {};

    /**
     * Creates a call that nobody has sent yet, and starts its time-out.
     *
     * @param request the request, not null
     * @param check examines an answer on a connection that has carried another call, not null
     * @param time timers, not null
     * @param timeoutMillis the time-out for the response, including the time to open a connection
     */
    ControlExchange(ControlRequest request, AnswerCheck check, TimeSource time, long timeoutMillis) {
        this.request = Objects.requireNonNull(request, "request");
        this.check = Objects.requireNonNull(check, "check");
        this.timeout = time.schedule(timeoutMillis, () -> {
            end(new ControlReply.Lost("timeout"));
            closeConnection.run();
        });
    }

    ControlRequest request() {
        return request;
    }

    AnswerCheck check() {
        return check;
    }

    /** Returns a stage that completes on the event loop, never exceptionally. */
    CompletionStage<ControlReply> reply() {
        return reply;
    }

    boolean hasEnded() {
        return reply.isDone();
    }

    /** Records how to close the connection on which the call is sent, which is done at the time-out. */
    void recordSent(Runnable connectionCloser) {
        closeConnection = Objects.requireNonNull(connectionCloser, "connectionCloser");
    }

    void end(ControlReply outcome) {
        timeout.cancel();
        reply.complete(outcome);
    }
}
