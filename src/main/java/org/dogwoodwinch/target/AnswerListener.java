package org.dogwoodwinch.target;

/** Receives one attempt's answer; calls come one at a time, and exactly one of the last two ends them. */
public interface AnswerListener {

    /**
     * Takes a piece of the answer.
     *
     * @param chunk the piece, not null
     */
    void onChunk(AnswerChunk chunk);

    /**
     * The answer is whole.
     *
     * @param usage what it cost, not null
     * @param finishReason why it ended, as the engine says it ({@code stop}, {@code length}), not null
     */
    void onComplete(Usage usage, String finishReason);

    /**
     * The attempt failed.
     *
     * @param failure why, not null
     */
    void onFailure(TargetFailure failure);
}
