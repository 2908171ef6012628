package org.dogwoodwinch.faultrun;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.dogwoodwinch.standin.StandInEngine;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.AnswerListener;
import org.dogwoodwinch.target.AnswerStream;
import org.dogwoodwinch.target.CacheEvent;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.EngineOrder;
import org.dogwoodwinch.target.EngineState;
import org.dogwoodwinch.target.GenerateCall;
import org.dogwoodwinch.target.KvReference;
import org.dogwoodwinch.target.LoadReport;
import org.dogwoodwinch.target.OrderResult;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TargetReply;
import org.dogwoodwinch.target.TokenUsage;

/** A connection from one instance to one engine; once the instance is dead, nothing passes either way. */
final class VirtualLink implements EngineClient {

    private final StandInEngine engine;
    private final BooleanSupplier alive;

    VirtualLink(StandInEngine engine, BooleanSupplier alive) {
        this.engine = engine;
        this.alive = alive;
    }

    @Override
    public AnswerStream generate(GenerateCall call, AnswerListener listener) {
        return alive.getAsBoolean() ? gate(engine.generate(call, gate(listener))) : new DeadStream();
    }

    @Override
    public AnswerStream resume(String attemptId, long fromSequence, AnswerListener listener) {
        return alive.getAsBoolean() ? gate(engine.resume(attemptId, fromSequence, gate(listener))) : new DeadStream();
    }

    @Override
    public CompletionStage<TargetReply<LoadReport>> fetchLoadReport() {
        return alive.getAsBoolean() ? engine.fetchLoadReport() : new CompletableFuture<>();
    }

    @Override
    public CompletionStage<TargetReply<List<CacheEvent>>> fetchCacheEvents(long afterSequence) {
        return alive.getAsBoolean() ? engine.fetchCacheEvents(afterSequence) : new CompletableFuture<>();
    }

    @Override
    public CompletionStage<TargetReply<KvReference>> exportKv(String attemptId) {
        return alive.getAsBoolean() ? engine.exportKv(attemptId) : new CompletableFuture<>();
    }

    @Override
    public CompletionStage<OrderResult> sendOrder(EngineOrder order) {
        return alive.getAsBoolean() ? engine.sendOrder(order) : new CompletableFuture<>();
    }

    @Override
    public CompletionStage<TargetReply<EngineState>> fetchState() {
        return alive.getAsBoolean() ? engine.fetchState() : new CompletableFuture<>();
    }

    private AnswerStream gate(AnswerStream stream) {
        return new AnswerStream() {
            @Override
            public void pauseReading() {
                stream.pauseReading();
            }

            @Override
            public void resumeReading() {
                stream.resumeReading();
            }

            @Override
            public void cancel() {
                if (alive.getAsBoolean()) {
                    stream.cancel();
                }
            }
        };
    }

    private AnswerListener gate(AnswerListener listener) {
        return new AnswerListener() {
            @Override
            public void onChunk(AnswerChunk chunk) {
                if (alive.getAsBoolean()) {
                    listener.onChunk(chunk);
                }
            }

            @Override
            public void onComplete(TokenUsage usage, String finishReason) {
                if (alive.getAsBoolean()) {
                    listener.onComplete(usage, finishReason);
                }
            }

            @Override
            public void onFailure(TargetFailure failure) {
                if (alive.getAsBoolean()) {
                    listener.onFailure(failure);
                }
            }
        };
    }

    private static final class DeadStream implements AnswerStream {

        @Override
        public void pauseReading() {}

        @Override
        public void resumeReading() {}

        @Override
        public void cancel() {}
    }
}
