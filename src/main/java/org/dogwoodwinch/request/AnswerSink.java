package org.dogwoodwinch.request;

import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.ServiceAnswer;
import org.dogwoodwinch.target.Usage;

/**
 * Takes one request's answer to its caller.
 *
 * <p>Chunks come in order of sequence, each token once. Exactly one of the other calls ends the answer: a refusal after
 * chunks tells the caller that the answer was cut.
 */
public interface AnswerSink {

    /**
     * Takes a piece of a generated answer.
     *
     * @param chunk the piece, not null
     */
    void onChunk(AnswerChunk chunk);

    /**
     * The generated answer is whole.
     *
     * @param usage what it cost, not null
     * @param finishReason why it ended, not null
     */
    void onComplete(Usage usage, String finishReason);

    /**
     * The plain service answered.
     *
     * @param answer the answer, not null
     */
    void onServiceAnswer(ServiceAnswer answer);

    /**
     * The request is given up on.
     *
     * @param refusal why, not null
     */
    void onRefused(Refusal refusal);
}
