package org.dogwoodwinch.standin;

import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.AnswerListener;
import org.dogwoodwinch.target.GenerateCall;
import org.dogwoodwinch.target.TokenUsage;

/** One request inside a stand-in engine; the engine guards it. */
final class StandInSequence {

    private final GenerateCall call;
    private final int promptTokens;
    private final int answerTokens;
    private AnswerListener listener;
    private int cachedPromptTokens;
    private int prefillRemaining;
    private int generated;
    private long delivered;
    private boolean paused;
    private boolean ended;

    StandInSequence(GenerateCall call, AnswerListener listener) {
        this.call = call;
        this.listener = listener;
        this.promptTokens = StandInText.promptTokens(call.prompt());
        this.answerTokens = call.prefillOnly() ? 0 : StandInText.answerTokens(call.prompt(), call.maxTokens());
        this.prefillRemaining = call.kvReference().isPresent() ? 0 : promptTokens;
    }

    GenerateCall call() {
        return call;
    }

    int promptTokens() {
        return promptTokens;
    }

    int prefillRemaining() {
        return prefillRemaining;
    }

    int decodeRemaining() {
        return answerTokens - generated;
    }

    int contextTokens() {
        return promptTokens + generated;
    }

    boolean isFinished() {
        return prefillRemaining == 0 && generated == answerTokens;
    }

    void useCached(int cachedCharacters) {
        int length = Math.max(1, call.prompt().length());
        cachedPromptTokens = (int) ((long) promptTokens * cachedCharacters / length);
        // The last token is always computed: its output is what the first answer token is sampled from.
        cachedPromptTokens = Math.min(cachedPromptTokens, promptTokens - 1);
        prefillRemaining -= cachedPromptTokens;
    }

    int prefill(int mostTokens) {
        int tokens = Math.min(mostTokens, prefillRemaining);
        prefillRemaining -= tokens;
        return tokens;
    }

    void generateToken() {
        if (generated < answerTokens) {
            generated++;
        }
    }

    /** Joins a new listener from a token on; the one before hears nothing more. */
    void attach(AnswerListener newListener, long fromSequence) {
        listener = newListener;
        delivered = fromSequence;
        paused = false;
        ended = false;
    }

    void detach() {
        listener = null;
    }

    void setPaused(boolean newPaused) {
        paused = newPaused;
    }

    AnswerListener listener() {
        return listener;
    }

    void deliver() {
        while (listener != null && !paused && delivered < generated) {
            long sequence = delivered++;
            listener.onChunk(
                    new AnswerChunk(call.attemptId(), sequence, 1, StandInText.token(call.prompt(), sequence)));
        }
        if (listener != null && !paused && !ended && isFinished() && delivered >= generated) {
            ended = true;
            listener.onComplete(usage(), call.prefillOnly() ? "prefilled" : "stop");
        }
    }

    private TokenUsage usage() {
        return new TokenUsage(promptTokens, cachedPromptTokens, generated);
    }
}
