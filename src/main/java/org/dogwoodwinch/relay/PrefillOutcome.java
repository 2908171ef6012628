package org.dogwoodwinch.relay;

/** What is known of a prompt that one engine was to read for another; whatever it is, the call has not run there. */
sealed interface PrefillOutcome {

    /**
     * The prompt was read.
     *
     * @param cacheHandle what the engine that runs the call takes over
     */
    record Completed(PromptMemory cacheHandle) implements PrefillOutcome {}

    /**
     * No byte was written: the reader never saw the call.
     *
     * @param reason why, for logs and counters
     */
    record NotSent(String reason) implements PrefillOutcome {}

    /**
     * The reader took the call and named no memory that could be used: an accepted reading is no arrival that counts.
     *
     * @param reason why, for logs and counters
     */
    record NoCacheHandle(String reason) implements PrefillOutcome {}

    /**
     * Bytes were written, and the reader rejected the call or broke off: an arrival that counts like any other.
     *
     * @param reason why, for logs and counters
     */
    record Failed(String reason) implements PrefillOutcome {}
}
