package org.dogwoodwinch.target;

import java.util.Objects;

/**
 * A chunk of an answer.
 *
 * @param attemptId the attempt to which the chunk belongs, not null
 * @param sequence the index of the chunk's first token in the answer, from zero; receivers use it to drop duplicates
 *     and to detect gaps
 * @param tokens the number of tokens in the chunk, at least one
 * @param text the text of the tokens, not null
 */
public record AnswerChunk(String attemptId, long sequence, int tokens, String text) {

    /** Validates the components. */
    public AnswerChunk {
        Objects.requireNonNull(attemptId, "attemptId");
        Objects.requireNonNull(text, "text");
    }
}
