package org.dogwoodwinch.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.dogwoodwinch.request.AnswerSink;
import org.dogwoodwinch.request.CallerRequest;
import org.dogwoodwinch.request.RequestHandle;
import org.dogwoodwinch.request.RequestHandler;

/** Answers each request as the test says, and notes what the edge does with its hold. */
public final class ScriptedHandler implements RequestHandler {

    private final ConcurrentLinkedQueue<CallerRequest> requests = new ConcurrentLinkedQueue<>();
    private final CompletableFuture<Void> paused = new CompletableFuture<>();
    private final CompletableFuture<Void> resumed = new CompletableFuture<>();
    private final CompletableFuture<Void> cancelled = new CompletableFuture<>();
    private volatile Consumer<Submitted> script = _submitted -> {};

    /** One request as it was submitted. */
    public record Submitted(CallerRequest request, AnswerSink sink) {}

    /** Sets what is done with the next requests. */
    public void onSubmit(Consumer<Submitted> newScript) {
        script = newScript;
    }

    /** Returns the last request. */
    public CallerRequest last() {
        return requests.stream().reduce((_first, second) -> second).orElseThrow();
    }

    /** Returns how many requests came. */
    public int count() {
        return requests.size();
    }

    /** Completes when a caller's connection was full. */
    public CompletableFuture<Void> paused() {
        return paused;
    }

    /** Completes when a caller's connection had room again. */
    public CompletableFuture<Void> resumed() {
        return resumed;
    }

    /** Completes when a caller left. */
    public CompletableFuture<Void> cancelled() {
        return cancelled;
    }

    @Override
    public RequestHandle submit(CallerRequest request, AnswerSink sink) {
        requests.add(request);
        script.accept(new Submitted(request, sink));
        return new RequestHandle() {
            @Override
            public void pauseReading() {
                paused.complete(null);
            }

            @Override
            public void resumeReading() {
                resumed.complete(null);
            }

            @Override
            public void cancel() {
                cancelled.complete(null);
            }
        };
    }
}
