package org.dogwoodwinch.target;

/**
 * Receives the answer of one attempt. Calls are made one at a time; the last one is either {@link #onComplete} or
 * {@link #onFailure}.
 */
public interface AnswerListener {

    /**
     * Receives a chunk of the answer.
     *
     * @param chunk the chunk, not null
     */
    void onChunk(AnswerChunk chunk);

    /**
     * Called when the answer is complete.
     *
     * @param usage the token counts of the answer, not null
     * @param finishReason why generation ended, as reported by the engine ({@code stop}, {@code length}), not null
     */
    void onComplete(TokenUsage usage, String finishReason);

    /**
     * Called when the attempt failed.
     *
     * @param failure the reason, not null
     */
    void onFailure(TargetFailure failure);
}
