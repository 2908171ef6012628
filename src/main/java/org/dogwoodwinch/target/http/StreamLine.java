package org.dogwoodwinch.target.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.Usage;

/**
 * One line of an engine's stream: a chunk, the whole answer's end, or a failure while it ran.
 *
 * @param attemptId the attempt that the line belongs to, on every line
 * @param sequence for a chunk the number of its first token
 * @param tokens for a chunk how many tokens it holds
 * @param text for a chunk its text
 * @param usage for the end what the answer cost
 * @param finishReason for the end why it ended
 * @param failure for a failure what went wrong
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record StreamLine(
        String attemptId,
        Long sequence,
        Integer tokens,
        String text,
        Usage usage,
        String finishReason,
        String failure) {

    /**
     * Makes the line of a chunk.
     *
     * @param chunk the chunk, not null
     * @return the line
     */
    public static StreamLine chunk(AnswerChunk chunk) {
        return new StreamLine(chunk.attemptId(), chunk.sequence(), chunk.tokens(), chunk.text(), null, null, null);
    }

    /**
     * Makes the line that ends a whole answer.
     *
     * @param attemptId the attempt, not null
     * @param usage what it cost, not null
     * @param finishReason why it ended, not null
     * @return the line
     */
    public static StreamLine complete(String attemptId, Usage usage, String finishReason) {
        return new StreamLine(attemptId, null, null, null, usage, finishReason, null);
    }

    /**
     * Makes the line that ends a failed answer.
     *
     * @param attemptId the attempt, not null
     * @param failure what went wrong, not null
     * @return the line
     */
    public static StreamLine failed(String attemptId, String failure) {
        return new StreamLine(attemptId, null, null, null, null, null, failure);
    }

    /**
     * Says whether this line is a well-formed chunk.
     *
     * @return true where every part of a chunk is there and in range
     */
    public boolean isChunk() {
        return sequence != null && sequence >= 0 && tokens != null && tokens > 0 && text != null;
    }

    /**
     * Says whether this line ends a whole answer.
     *
     * @return true where every part of the end is there
     */
    public boolean isComplete() {
        return usage != null && finishReason != null;
    }
}
