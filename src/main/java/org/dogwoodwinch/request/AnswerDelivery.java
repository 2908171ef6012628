package org.dogwoodwinch.request;

import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.TokenUsage;

/**
 * Delivers the answer of one request to the caller's sink and reports the latency of its chunks to the observer. Not
 * thread-safe.
 */
final class AnswerDelivery {

    private final RequestContext context;
    private final CallerRequest request;
    private final AnswerSink sink;
    private final AnswerProgress progress = new AnswerProgress();
    private long lastChunkMillis = -1;

    AnswerDelivery(RequestContext context, CallerRequest request, AnswerSink sink) {
        this.context = context;
        this.request = request;
        this.sink = sink;
    }

    AnswerProgress progress() {
        return progress;
    }

    void deliver(AnswerChunk chunk) {
        long nowMillis = context.nowMillis();
        if (lastChunkMillis < 0) {
            context.observer().onFirstToken(request, nowMillis - request.arrivedMillis());
        } else {
            context.observer().onNextToken(request, nowMillis - lastChunkMillis);
        }
        lastChunkMillis = nowMillis;
        sink.onChunk(chunk);
    }

    void complete(TokenUsage usage, String finishReason) {
        sink.onComplete(usage, finishReason);
    }

    void completeServiceAnswer(ServiceAnswer answer) {
        sink.onServiceAnswer(answer);
    }

    void refuse(Refusal refusal) {
        sink.onRefused(refusal);
    }
}
