package org.dogwoodwinch.request;

import org.dogwoodwinch.target.AnswerChunk;

/** Says whether a chunk belongs to an attempt. */
@FunctionalInterface
public interface ChunkMatcher {

    /** By the attempt's id, never by the order or the connection on which the chunk came. */
    ChunkMatcher BY_ATTEMPT_ID = (attemptId, chunk) -> attemptId.equals(chunk.attemptId());

    /**
     * Decides.
     *
     * @param attemptId the attempt that is listened to, not null
     * @param chunk what came, not null
     * @return whether the chunk is the attempt's
     */
    boolean matches(String attemptId, AnswerChunk chunk);
}
