package org.dogwoodwinch.forwarding;

/**
 * Kinds of work whose times are compared with each other only. The unit of work is one expected millisecond until the
 * first event, or until the end of a separate prefill, where the target prefills a prompt, and one run at it otherwise.
 */
public enum WorkKind {
    /** A call without a prompt, until the head of its response. */
    PLAIN,
    /** A prompt whose prefill takes about as long as the fixed parts of its time, until the first event. */
    SHORT_PROMPT,
    /** A longer prompt, until the first event or the end of a separate prefill. */
    LONG_PROMPT,
    /** A call whose prompt another engine has prefilled, until the first event. */
    PREFILLED_PROMPT;

    /** Below it, half of the time of a prefill and more does not depend on the number of tokens. */
    private static final long LONG_PROMPT_TOKENS = 1_500;

    /**
     * Returns the kind of a prompt.
     *
     * @param tokens the tokens to prefill before the first event, including those queued ahead
     * @return short or long
     */
    public static WorkKind ofPrompt(long tokens) {
        return tokens < LONG_PROMPT_TOKENS ? SHORT_PROMPT : LONG_PROMPT;
    }
}
