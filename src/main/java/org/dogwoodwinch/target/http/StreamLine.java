package org.dogwoodwinch.target.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.TokenUsage;

/**
 * One line of an engine's stream: a chunk, the end of a complete answer, or a failure.
 *
 * @param attemptId the attempt to which the line belongs; present on every line
 * @param sequence for a chunk, the index of its first token; otherwise null
 * @param tokens for a chunk, the number of its tokens; otherwise null
 * @param text for a chunk, its text; otherwise null
 * @param usage for the end of an answer, its token counts; otherwise null
 * @param finishReason for the end of an answer, why generation ended; otherwise null
 * @param failure for a failure, the error; otherwise null
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record StreamLine(
        String attemptId,
        Long sequence,
        Integer tokens,
        String text,
        TokenUsage usage,
        String finishReason,
        String failure) {

    /**
     * Creates the line of a chunk.
     *
     * @param chunk the chunk, not null
     * @return the line
     */
    public static StreamLine chunk(AnswerChunk chunk) {
        return new StreamLine(chunk.attemptId(), chunk.sequence(), chunk.tokens(), chunk.text(), null, null, null);
    }

    /**
     * Creates the line that ends a complete answer.
     *
     * @param attemptId the attempt, not null
     * @param usage the token counts of the answer, not null
     * @param finishReason why generation ended, not null
     * @return the line
     */
    public static StreamLine complete(String attemptId, TokenUsage usage, String finishReason) {
        return new StreamLine(attemptId, null, null, null, usage, finishReason, null);
    }

    /**
     * Creates the line that ends a failed answer.
     *
     * @param attemptId the attempt, not null
     * @param failure the error, not null
     * @return the line
     */
    public static StreamLine failed(String attemptId, String failure) {
        return new StreamLine(attemptId, null, null, null, null, null, failure);
    }

    /**
     * Returns whether this line is a well-formed chunk.
     *
     * @return true if all fields of a chunk are present and in range
     */
    public boolean isChunk() {
        return sequence != null && sequence >= 0 && tokens != null && tokens > 0 && text != null;
    }

    /**
     * Returns whether this line ends a complete answer.
     *
     * @return true if the token counts and the finish reason are present
     */
    public boolean isComplete() {
        return usage != null && finishReason != null;
    }
}
