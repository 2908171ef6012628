package org.dogwoodwinch.forwarding;

/**
 * What the operator states of a service's model engines.
 *
 * @param slotsCount requests that run at once
 * @param kvCapacityTokens the memory shared by running requests and cached parts, in tokens
 * @param kvTokenBytes the memory of one token
 * @param linkMbitPerSecond the rate at which memory moves between engines
 * @param kvHandleTtlMillis how long a prefilled prompt is kept until it is taken
 * @param switchMillis how long an engine is away when it changes its stage; zero where none is stated
 */
public record EngineTraits(
        int slotsCount,
        long kvCapacityTokens,
        long kvTokenBytes,
        double linkMbitPerSecond,
        long kvHandleTtlMillis,
        long switchMillis) {}
