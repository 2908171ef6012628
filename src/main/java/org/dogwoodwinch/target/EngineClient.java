package org.dogwoodwinch.target;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** One engine, as the system uses it. */
public interface EngineClient {

    /**
     * Starts an attempt.
     *
     * @param call the attempt, not null
     * @param listener hears the answer, not null
     * @return the handle
     */
    AnswerStream generate(GenerateCall call, AnswerListener listener);

    /**
     * Joins a stream that runs or ran on the engine, from a given token on.
     *
     * @param attemptId the stream's attempt id, not null
     * @param fromSequence the first token wanted
     * @param listener hears the rest of the answer, not null
     * @return the handle
     */
    AnswerStream resume(String attemptId, long fromSequence, AnswerListener listener);

    /**
     * Asks for the engine's load.
     *
     * @return the report, or the failure
     */
    CompletionStage<TargetReply<LoadReport>> loadReport();

    /**
     * Asks for cache events.
     *
     * @param afterSequence the last event known
     * @return the later events that the engine still has, in order, or the failure
     */
    CompletionStage<TargetReply<List<CacheEvent>>> cacheEvents(long afterSequence);

    /**
     * Exports the KV cache of an attempt for another engine to import.
     *
     * @param attemptId the attempt, not null
     * @return the reference, or the failure
     */
    CompletionStage<TargetReply<KvReference>> exportKv(String attemptId);

    /**
     * Sends an order.
     *
     * @param order the order, not null
     * @return what the engine said
     */
    CompletionStage<OrderResult> order(EngineOrder order);

    /**
     * Asks for the engine's state.
     *
     * @return the state, or the failure
     */
    CompletionStage<TargetReply<EngineState>> state();
}
