package org.dogwoodwinch.measure.requests;

import java.util.EnumMap;
import java.util.Map;
import org.dogwoodwinch.request.AnswerSink;
import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.request.RefusalReason;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.TokenUsage;

/** Counts answers, and refusals by reason, of many requests. */
final class TrialSink implements AnswerSink {

    private final Map<RefusalReason, Integer> refusals = new EnumMap<>(RefusalReason.class);
    private int answers;

    int answers() {
        return answers;
    }

    int refusals(RefusalReason reason) {
        return refusals.getOrDefault(reason, 0);
    }

    @Override
    public void onChunk(AnswerChunk _chunk) {}

    @Override
    public void onComplete(TokenUsage _usage, String _finishReason) {
        answers++;
    }

    @Override
    public void onServiceAnswer(ServiceAnswer _answer) {
        answers++;
    }

    @Override
    public void onRefused(Refusal refusal) {
        refusals.merge(refusal.reason(), 1, Integer::sum);
    }
}
