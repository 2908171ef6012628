package org.dogwoodwinch.relay;

/** Outcome of a prefill on one engine for a call that another engine runs. The call has not run in any case. */
sealed interface PrefillOutcome {

    /**
     * The prompt was prefilled.
     *
     * @param cacheHandle identifies the KV cache that the engine that runs the call fetches
     */
    record Completed(KvCacheHandle cacheHandle) implements PrefillOutcome {}

    /**
     * No byte was written, so the engine did not receive the request.
     *
     * @param reason the reason for logs and metrics
     */
    record NotSent(String reason) implements PrefillOutcome {}

    /**
     * The engine accepted the request but its response has no usable cache handle. The next send is not counted as a
     * retry.
     *
     * @param reason the reason for logs and metrics
     */
    record NoCacheHandle(String reason) implements PrefillOutcome {}

    /**
     * The engine rejected the request or closed the connection. The next send is counted as a retry.
     *
     * @param reason the reason for logs and metrics
     * @param connectionLost whether the connection ended without a response, as it does when the engine crashes
     */
    record Failed(String reason, boolean connectionLost) implements PrefillOutcome {}
}
