package org.dogwoodwinch.target;

/**
 * What an answer cost, as the engine counted it.
 *
 * @param promptTokens tokens of the prompt
 * @param cachedPromptTokens how many of them the prefix cache held
 * @param completionTokens tokens generated
 */
public record Usage(long promptTokens, long cachedPromptTokens, long completionTokens) {}
