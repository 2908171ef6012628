package org.dogwoodwinch.measure;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.AnswerListener;
import org.dogwoodwinch.target.GenerateCall;
import org.dogwoodwinch.target.Target;
import org.dogwoodwinch.target.TargetClientFactory;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TokenUsage;
import org.dogwoodwinch.time.TimeSource;

/** Calls the engines themselves, in turn: what a caller would get without the daemon. */
final class DirectCaller implements PathCaller {

    private static final long DEADLINE_MILLIS = 120_000;

    private final TargetClientFactory clients;
    private final List<Target> engines;
    private final String model;
    private final int maxTokens;
    private final TimeSource time;
    private final AtomicInteger next = new AtomicInteger();

    /**
     * Creates a caller.
     *
     * @param clients reaches the engines, not null
     * @param engines the engines, not null
     * @param model the model they run, not null
     * @param maxTokens the most tokens of an answer
     * @param time measures, not null
     */
    DirectCaller(TargetClientFactory clients, List<Target> engines, String model, int maxTokens, TimeSource time) {
        this.clients = Objects.requireNonNull(clients, "clients");
        this.engines = List.copyOf(engines);
        this.model = Objects.requireNonNull(model, "model");
        this.maxTokens = maxTokens;
        this.time = Objects.requireNonNull(time, "time");
    }

    @Override
    public CompletionStage<PathAnswer> send(String requestId, String prompt) {
        Target engine = engines.get(Math.floorMod(next.getAndIncrement(), engines.size()));
        GenerateCall call =
                new GenerateCall(requestId, model, prompt, maxTokens, 0, DEADLINE_MILLIS, false, Optional.empty());
        Collector collector = new Collector(time);
        clients.engineClient(engine).generate(call, collector);
        return collector.answer;
    }

    private static final class Collector implements AnswerListener {

        private final CompletableFuture<PathAnswer> answer = new CompletableFuture<>();
        private final StringBuilder text = new StringBuilder();
        private final AnswerStopwatch stopwatch;

        Collector(TimeSource time) {
            this.stopwatch = new AnswerStopwatch(time);
        }

        @Override
        public void onChunk(AnswerChunk chunk) {
            stopwatch.onPart();
            text.append(chunk.text());
        }

        @Override
        public void onComplete(TokenUsage _usage, String _finishReason) {
            answer.complete(new PathAnswer(true, text.toString(), stopwatch.firstNanos(), stopwatch.elapsedNanos()));
        }

        @Override
        public void onFailure(TargetFailure failure) {
            answer.complete(new PathAnswer(false, failure.toString(), 0, stopwatch.elapsedNanos()));
        }
    }
}
