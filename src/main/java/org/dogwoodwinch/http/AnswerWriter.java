package org.dogwoodwinch.http;

import org.dogwoodwinch.request.Refusal;
import org.dogwoodwinch.target.AnswerChunk;
import org.dogwoodwinch.target.TokenUsage;

/** Writes one generated answer in the shape that its caller wants; runs on the connection's event loop alone. */
interface AnswerWriter {

    /**
     * Takes a piece.
     *
     * @param chunk the piece, not null
     */
    void chunk(AnswerChunk chunk);

    /**
     * Ends the whole answer.
     *
     * @param usage what it cost, not null
     * @param finishReason why it ended, not null
     */
    void complete(TokenUsage usage, String finishReason);

    /**
     * Ends the answer with a refusal.
     *
     * @param refusal why, not null
     */
    void refuse(Refusal refusal);

    /**
     * Says whether a part of the answer has gone out.
     *
     * @return true where it has: a refusal is then an event of the stream, and the connection cannot be used again
     */
    boolean hasStarted();
}
