package org.dogwoodwinch.target;

import java.util.Objects;

/**
 * A piece of an answer.
 *
 * @param attemptId the attempt that it belongs to, not null
 * @param sequence the number of its first token in the answer, from zero; a receiver drops what it has and notices gaps
 * @param tokens how many tokens it holds, one or more
 * @param text the text, not null
 */
public record AnswerChunk(String attemptId, long sequence, int tokens, String text) {

    /** Checks the parts. */
    public AnswerChunk {
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(text, "text");
    }
}
