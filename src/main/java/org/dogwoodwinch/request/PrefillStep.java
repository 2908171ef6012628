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
import org.dogwoodwinch.target.Usage;

/** Computes a prompt on one engine and exports its KV cache for another; reports on the request's queue, once. */
final class PrefillStep implements AnswerListener {

    private final SerialQueue queue;
    private final EngineClient engine;
    private final String attemptId;
    private final Consumer<TargetReply<KvReference>> done;
    private AnswerStream stream;
    private Usage usage = new Usage(0, 0, 0);
    private boolean over;

    PrefillStep(SerialQueue queue, EngineClient engine, String attemptId, Consumer<TargetReply<KvReference>> done) {
        this.queue = queue;
        this.engine = engine;
        this.attemptId = attemptId;
        this.done = done;
    }

    void start(GenerateCall call) {
        stream = engine.generate(call, this);
    }

    void cancel() {
        over = true;
        if (stream != null) {
            stream.cancel();
        }
    }

    Usage usage() {
        return usage;
    }

    @Override
    public void onChunk(AnswerChunk _chunk) {
        // A prefill generates nothing; the engine that decodes brings the first token.
    }

    @Override
    public void onComplete(Usage cost, String _finishReason) {
        queue.execute(() -> {
            usage = cost;
            export();
        });
    }

    @Override
    public void onFailure(TargetFailure failure) {
        queue.execute(() -> finish(new TargetReply.Failure<>(failure)));
    }

    private void export() {
        if (over) {
            return;
        }
        engine.exportKv(attemptId)
                .whenComplete((reply, fault) -> queue.execute(() -> finish(
                        reply != null
                                ? reply
                                : new TargetReply.Failure<>(new TargetFailure.Failed("export: " + fault)))));
    }

    private void finish(TargetReply<KvReference> reply) {
        if (!over) {
            over = true;
            done.accept(reply);
        }
    }
}
