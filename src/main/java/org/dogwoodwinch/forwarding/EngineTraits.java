package org.dogwoodwinch.forwarding;

/**
 * Properties of a service's model engines, as configured by the operator.
 *
 * @param slotsCount maximum number of requests that run at the same time
 * @param kvCapacityTokens capacity of the KV cache, which running requests and cached segments share, in tokens
 * @param kvTokenBytes size of the KV cache of one token
 * @param linkMbitPerSecond rate of KV cache transfers between engines
 * @param kvHandleTtlMillis time for which a prefilled prompt is kept for its transfer
 * @param stageChangeMillis time for which an engine is unavailable while it changes its stage; zero if not configured
 */
public record EngineTraits(
        int slotsCount,
        long kvCapacityTokens,
        long kvTokenBytes,
        double linkMbitPerSecond,
        long kvHandleTtlMillis,
        long stageChangeMillis) {}
