package org.dogwoodwinch.forwarding;

import java.util.Arrays;
import java.util.List;

/** The prompts that wait to be read at an engine, by the level of their calls. Immutable. */
public final class ReadQueue {

    /** Nothing waits. */
    public static final ReadQueue EMPTY = new ReadQueue(new long[QueueLevel.COUNT], new int[QueueLevel.COUNT]);

    private final long[] tokens;
    private final int[] prompts;

    private ReadQueue(long[] tokens, int[] prompts) {
        this.tokens = tokens;
        this.prompts = prompts;
    }

    /**
     * Creates a queue from rows of levels.
     *
     * @param tokens the tokens of each level, the first level first, not null; missing levels count as zero
     * @param prompts the prompts of each level in the same order, not null
     * @return the queue
     * @throws IllegalArgumentException if there are more levels than an engine tells apart
     */
    public static ReadQueue of(List<Long> tokens, List<Integer> prompts) {
        if (tokens.size() > QueueLevel.COUNT || prompts.size() > QueueLevel.COUNT) {
            throw new IllegalArgumentException("levels: " + tokens.size() + ", " + prompts.size());
        }
        long[] tokensOfLevels = tokens.stream().mapToLong(Long::longValue).toArray();
        int[] promptsOfLevels = prompts.stream().mapToInt(Integer::intValue).toArray();
        return new ReadQueue(
                Arrays.copyOf(tokensOfLevels, QueueLevel.COUNT), Arrays.copyOf(promptsOfLevels, QueueLevel.COUNT));
    }

    /**
     * Creates a queue of one prompt.
     *
     * @param level the level of its call
     * @param tokens its tokens
     * @return the queue
     */
    public static ReadQueue one(int level, long tokens) {
        return EMPTY.with(level, tokens, tokens == 0 ? 0 : 1);
    }

    /**
     * Returns the tokens that are read before a call that comes now: those of its level and of all before it, and one
     * prompt of a later level, since an engine finishes the prompt that it has begun.
     *
     * @param level the call's level
     * @return the tokens expected ahead of it
     */
    public long aheadOf(int level) {
        long earlierTokens = 0;
        for (int i = 0; i <= level; i++) {
            earlierTokens += tokens[i];
        }
        long laterTokens = 0;
        long laterPrompts = 0;
        for (int i = level + 1; i < tokens.length; i++) {
            laterTokens += tokens[i];
            laterPrompts += prompts[i];
        }
        return earlierTokens + (laterPrompts > 0 ? laterTokens / laterPrompts : 0);
    }

    /**
     * Returns all tokens.
     *
     * @return the sum over all levels
     */
    public long totalTokens() {
        return Arrays.stream(tokens).sum();
    }

    /**
     * Returns the tokens of a level.
     *
     * @param level the level
     * @return its tokens
     */
    public long tokensAt(int level) {
        return tokens[level];
    }

    /**
     * Returns the prompts of a level.
     *
     * @param level the level
     * @return its prompts
     */
    public int promptsAt(int level) {
        return prompts[level];
    }

    /**
     * Returns the tokens of each level.
     *
     * @return the first level first
     */
    public List<Long> tokens() {
        return Arrays.stream(tokens).boxed().toList();
    }

    /**
     * Returns the prompts of each level.
     *
     * @return the first level first
     */
    public List<Integer> prompts() {
        return Arrays.stream(prompts).boxed().toList();
    }

    /**
     * Returns the sum.
     *
     * @param other what else waits, not null
     * @return both together
     */
    public ReadQueue plus(ReadQueue other) {
        return combine(other, 1);
    }

    ReadQueue minus(ReadQueue other) {
        return combine(other, -1);
    }

    /**
     * Returns this queue with more in one level.
     *
     * @param level the level
     * @param addedTokens the tokens that come to it
     * @param addedPrompts the prompts that come to it
     * @return the longer queue
     * @throws IndexOutOfBoundsException if engines tell no such level apart
     */
    public ReadQueue with(int level, long addedTokens, int addedPrompts) {
        long[] newTokens = tokens.clone();
        int[] newPrompts = prompts.clone();
        newTokens[level] += addedTokens;
        newPrompts[level] += addedPrompts;
        return new ReadQueue(newTokens, newPrompts);
    }

    private ReadQueue combine(ReadQueue other, int sign) {
        long[] newTokens = tokens.clone();
        int[] newPrompts = prompts.clone();
        for (int i = 0; i < newTokens.length; i++) {
            newTokens[i] += sign * other.tokens[i];
            newPrompts[i] += sign * other.prompts[i];
        }
        return new ReadQueue(newTokens, newPrompts);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ReadQueue queue
                && Arrays.equals(tokens, queue.tokens)
                && Arrays.equals(prompts, queue.prompts);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(tokens) + Arrays.hashCode(prompts);
    }

    @Override
    public String toString() {
        return Arrays.toString(tokens) + Arrays.toString(prompts);
    }
}
