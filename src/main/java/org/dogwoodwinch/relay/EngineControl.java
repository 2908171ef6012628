package org.dogwoodwinch.relay;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.dogwoodwinch.bytes.Bytes;
import org.dogwoodwinch.forwarding.Incarnation;

/** What is asked of model engines beside running calls. */
public interface EngineControl {

    /**
     * Reads the answer to a call of which only the prompt was to be read.
     *
     * @param reader the engine that answered, not null
     * @param body the answer's body, not null
     * @return where the memory lies, or empty where the answer does not say
     */
    Optional<PromptMemory> readMemory(Incarnation reader, Bytes body);

    /**
     * Lets an engine forget the memory of a read prompt that nobody will take.
     *
     * @param reader the engine that keeps it, not null
     * @param memory the memory, not null
     */
    void release(Incarnation reader, PromptMemory memory);

    /**
     * Asks what changed in an engine's memory of parts.
     *
     * @param engine the engine, not null
     * @param sinceNumber the first event wanted
     * @return completes with the changes, or empty where there was no usable answer; never exceptionally
     */
    CompletionStage<Optional<CacheChanges>> cacheChanges(Incarnation engine, long sinceNumber);

    /**
     * Asks for all parts that an engine keeps. The question holds up the engine's work a little and is priced.
     *
     * @param engine the engine, not null
     * @return completes with the list, or empty where there was no usable answer; never exceptionally
     */
    CompletionStage<Optional<CacheList>> cacheList(Incarnation engine);

    /**
     * Asks how an engine stands to orders.
     *
     * @param engine the engine, not null
     * @return completes with what it tells, or empty where there was no usable answer; never exceptionally
     */
    CompletionStage<Optional<OrderState>> orderState(Incarnation engine);

    /**
     * Orders an engine to change its stage.
     *
     * @param engine the engine, not null
     * @param order the order, not null
     * @return completes with what became of it; never exceptionally
     */
    CompletionStage<OrderOutcome> order(Incarnation engine, StageOrder order);
}
