package org.dogwoodwinch.target;

/**
 * The token counts of an answer, as reported by the engine.
 *
 * @param promptTokens tokens in the prompt
 * @param cachedPromptTokens prompt tokens that were in the prefix cache
 * @param completionTokens generated tokens
 */
public record TokenUsage(long promptTokens, long cachedPromptTokens, long completionTokens) {}
