package org.dogwoodwinch.request;

import java.util.function.Consumer;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.AnswerListener;
import org.dogwoodwinch.target.AnswerStream;
import org.dogwoodwinch.target.EngineClient;
import org.dogwoodwinch.target.GenerateCall;
import org.dogwoodwinch.target.KvReference;
import org.dogwoodwinch.target.TargetFailure;
import org.dogwoodwinch.target.TargetReply;
import org.dogwoodwinch.target.TokenUsage;

/**
 * Runs the prefill of a prompt on one engine and exports the resulting KV cache for another engine. The result is
 * reported exactly once, on the request's {@link SerialExecutor}.
 */
final class PrefillStep implements AnswerListener {

    private final SerialExecutor executor;
    private final EngineClient engine;
    private final String attemptId;
    private final Consumer<TargetReply<KvReference>> onDone;
    private AnswerStream stream;
    private TokenUsage usage = new TokenUsage(0, 0, 0);
    private boolean finished;

    PrefillStep(
            SerialExecutor executor, EngineClient engine, String attemptId, Consumer<TargetReply<KvReference>> onDone) {
        this.executor = executor;
        this.engine = engine;
        this.attemptId = attemptId;
        this.onDone = onDone;
    }

    void start(GenerateCall call) {
        stream = engine.generate(call, this);
    }

    void cancel() {
        finished = true;
        if (stream != null) {
            stream.cancel();
        }
    }

    TokenUsage usage() {
        return usage;
    }

    @Override
    public void onChunk(AnswerChunk _chunk) {
        // A prefill generates no tokens; the decoding engine produces the first one.
    }

    @Override
    public void onComplete(TokenUsage cost, String _finishReason) {
        executor.execute(() -> {
            usage = cost;
            exportKvCache();
        });
    }

    @Override
    public void onFailure(TargetFailure failure) {
        executor.execute(() -> finish(new TargetReply.Failure<>(failure)));
    }

    private void exportKvCache() {
        if (finished) {
            return;
        }
        engine.exportKv(attemptId)
                .whenComplete((reply, fault) -> executor.execute(() -> finish(
                        reply != null
                                ? reply
                                : new TargetReply.Failure<>(
                                        new TargetFailure.Failed("KV cache export failed: " + fault)))));
    }

    private void finish(TargetReply<KvReference> reply) {
        if (!finished) {
            finished = true;
            onDone.accept(reply);
        }
    }
}
