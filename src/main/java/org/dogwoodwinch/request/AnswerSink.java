package org.dogwoodwinch.request;

import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.TokenUsage;

/**
 * Receives the answer of one request and forwards it to the caller.
 *
 * <p>Chunks arrive in sequence order, each token exactly once. Exactly one of the other methods is called last and ends
 * the answer; a refusal after chunks means that the answer was truncated.
 */
public interface AnswerSink {

    /**
     * Receives the next chunk of a generated answer.
     *
     * @param chunk the chunk, not null
     */
    void onChunk(AnswerChunk chunk);

    /**
     * Called when the generated answer is complete.
     *
     * @param usage the tokens used, not null
     * @param finishReason the reason for which the generation ended, not null
     */
    void onComplete(TokenUsage usage, String finishReason);

    /**
     * Called when a plain service has answered.
     *
     * @param answer the answer, not null
     */
    void onServiceAnswer(ServiceAnswer answer);

    /**
     * Called when the request is refused or fails.
     *
     * @param refusal the reason and whether the request may have run, not null
     */
    void onRefused(Refusal refusal);
}
