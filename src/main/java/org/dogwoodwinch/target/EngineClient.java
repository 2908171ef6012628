package org.dogwoodwinch.target;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** A client of one model engine. */
public interface EngineClient {

    /**
     * Starts an attempt to generate an answer.
     *
     * @param call the attempt, not null
     * @param listener receives the answer, not null
     * @return the running attempt
     */
    AnswerStream generate(GenerateCall call, AnswerListener listener);

    /**
     * Resumes a stream that is running or has ended on the engine, from the given token on.
     *
     * @param attemptId the stream's attempt id, not null
     * @param fromSequence the index of the first token to receive
     * @param listener receives the rest of the answer, not null
     * @return the running attempt
     */
    AnswerStream resume(String attemptId, long fromSequence, AnswerListener listener);

    /**
     * Fetches the engine's load report.
     *
     * @return the report, or the failure
     */
    CompletionStage<TargetReply<LoadReport>> fetchLoadReport();

    /**
     * Fetches events of the engine's prefix cache.
     *
     * @param afterSequence the sequence number of the last known event
     * @return the later events that the engine still retains, in order, or the failure
     */
    CompletionStage<TargetReply<List<CacheEvent>>> fetchCacheEvents(long afterSequence);

    /**
     * Exports the KV cache of an attempt, so that another engine can import it.
     *
     * @param attemptId the attempt, not null
     * @return the reference to the export, or the failure
     */
    CompletionStage<TargetReply<KvReference>> exportKv(String attemptId);

    /**
     * Sends an order to the engine.
     *
     * @param order the order, not null
     * @return the engine's answer, or {@link OrderResult.Unknown} if the answer was lost
     */
    CompletionStage<OrderResult> sendOrder(EngineOrder order);

    /**
     * Fetches the engine's state.
     *
     * @return the state, or the failure
     */
    CompletionStage<TargetReply<EngineState>> fetchState();
}
