package org.dogwoodwinch.relay;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.Incarnation;

/** Client of the control interfaces of model engines. */
public interface EngineControl {

    /**
     * Parses the response to a prefill request.
     *
     * @param engine the engine that responded, not null
     * @param body the body of the response, not null
     * @return the handle of the KV cache; empty if the response has none
     */
    Optional<KvCacheHandle> parseCacheHandle(Incarnation engine, Bytes body);

    /**
     * Releases the KV cache of a prefilled prompt that will not be fetched.
     *
     * @param engine the engine that holds the cache, not null
     * @param cacheHandle the handle of the cache, not null
     */
    void releaseCache(Incarnation engine, KvCacheHandle cacheHandle);

    /**
     * Requests the changes of the prompt segments in an engine's KV cache.
     *
     * @param engine the engine, not null
     * @param sinceNumber the sequence number of the first change to return
     * @return a stage that completes with the changes, or empty without a usable response; never exceptionally
     */
    CompletionStage<Optional<CacheChanges>> cacheChanges(Incarnation engine, long sinceNumber);

    /**
     * Requests the complete list of segments in an engine's KV cache. The request delays the engine's work slightly and
     * has a cost.
     *
     * @param engine the engine, not null
     * @return a stage that completes with the list, or empty without a usable response; never exceptionally
     */
    CompletionStage<Optional<CacheSnapshot>> cacheSnapshot(Incarnation engine);

    /**
     * Requests an engine's stage and the state of its orders.
     *
     * @param engine the engine, not null
     * @return a stage that completes with the state, or empty without a usable response; never exceptionally
     */
    CompletionStage<Optional<OrderState>> orderState(Incarnation engine);

    /**
     * Orders an engine to change its stage.
     *
     * @param engine the engine, not null
     * @param order the order, not null
     * @return a stage that completes with the outcome; never exceptionally
     */
    CompletionStage<OrderOutcome> order(Incarnation engine, StageOrder order);
}
