package org.dogwoodwinch.catalogue;

/**
 * Limits that apply to all instances together; zero means no limit.
 *
 * @param maxConcurrent the greatest number of requests in flight
 * @param tokensPerSecond the greatest rate of prompt and generated tokens, averaged over a few seconds
 * @param maxPromptTokens the greatest length of a prompt, in tokens
 * @param maxOutputTokens the greatest length of an answer, in tokens
 */
public record Limits(int maxConcurrent, long tokensPerSecond, long maxPromptTokens, int maxOutputTokens) {

    /** No limits. */
    public static final Limits NONE = new Limits(0, 0, 0, 0);

    /**
     * Validates the limits.
     *
     * @throws IllegalArgumentException if a limit is negative
     */
    public Limits {
        if (maxConcurrent < 0 || tokensPerSecond < 0 || maxPromptTokens < 0 || maxOutputTokens < 0) {
            throw new IllegalArgumentException("limits must not be negative");
        }
    }
}
