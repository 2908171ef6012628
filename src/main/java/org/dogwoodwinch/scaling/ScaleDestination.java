package org.dogwoodwinch.scaling;

import java.util.concurrent.CompletionStage;

/** Receives the orders for engines. */
@FunctionalInterface
public interface ScaleDestination {

    /**
     * Sends an order.
     *
     * @param holder the name of the instance that holds the duty, not null
     * @param fencingToken a number that increases with each change of the holder
     * @param order the order, not null
     * @return a stage that completes with the outcome, never exceptionally
     */
    CompletionStage<ScaleOutcome> send(String holder, long fencingToken, ScaleOrder order);
}
