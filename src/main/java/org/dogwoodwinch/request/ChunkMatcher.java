package org.dogwoodwinch.request;

import org.dogwoodwinch.target.AnswerChunk;

/** Decides whether a received chunk belongs to an attempt. */
@FunctionalInterface
public interface ChunkMatcher {

    /** Matches by attempt id, never by the order in which chunks arrive or the connection that carries them. */
    ChunkMatcher BY_ATTEMPT_ID = (attemptId, chunk) -> attemptId.equals(chunk.attemptId());

    /**
     * Returns whether the chunk belongs to the attempt.
     *
     * @param attemptId the id of the attempt whose answer is being read, not null
     * @param chunk the received chunk, not null
     * @return true if the chunk is part of the attempt's answer
     */
    boolean matches(String attemptId, AnswerChunk chunk);
}
