package org.dogwoodwinch.catalogue;

/**
 * Limits that hold over all instances together; zero means no limit.
 *
 * @param maxConcurrent requests in flight at once
 * @param tokensPerSecond prompt and generated tokens a second, averaged over a few seconds
 * @param maxPromptTokens the longest prompt, in tokens
 * @param maxOutputTokens the longest answer, in tokens
 */
public record Limits(int maxConcurrent, long tokensPerSecond, long maxPromptTokens, int maxOutputTokens) {

    /** No limit at all. */
    public static final Limits NONE = new Limits(0, 0, 0, 0);

    /**
     * Checks the numbers.
     *
     * @throws IllegalArgumentException if one is negative
     */
    public Limits {
        if (maxConcurrent < 0 || tokensPerSecond < 0 || maxPromptTokens < 0 || maxOutputTokens < 0) {
            throw new IllegalArgumentException("limits must not be negative");
        }
    }
}
